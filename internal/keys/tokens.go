package keys

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"os"
	"regexp"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/yamlfile"
)

// Role determines what a token permits.
type Role string

// The roles.
const (
	// RoleRead permits reading.
	RoleRead Role = "read"
	// RoleChange permits reading and changing.
	RoleChange Role = "change"
)

// Token is an operator's entry in the token file, a YAML list.
type Token struct {
	Name   string `yaml:"name" json:"name"`
	Role   Role   `yaml:"role" json:"role"`
	SHA256 string `yaml:"sha256" json:"sha256"`
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// TokensConfig names the token file, which holds the hashes of the tokens.
type TokensConfig struct {
	File string
	// Logger receives events about a file that cannot be read.
	Logger *slog.Logger
}

// Tokens holds the operators' tokens.
type Tokens struct {
	config TokensConfig
	watch  *fileWatcher
	byHash atomic.Pointer[map[string]Token]
}

// NewTokens reads the file.
func NewTokens(config TokensConfig) (*Tokens, error) {
	t := &Tokens{config: config}
	watch, err := newFileWatcher([]string{config.File}, t.load, config.Logger)
	if err != nil {
		return nil, err
	}
	t.watch = watch
	return t, nil
}

func (t *Tokens) load() error {
	data, err := os.ReadFile(t.config.File)
	if err != nil {
		return errors.Wrap(err, "read tokens")
	}
	var list []Token
	if err := yamlfile.Decode(t.config.File, data, &list); err != nil {
		return err
	}
	check := yamlfile.NewChecker(t.config.File, data)
	byHash := make(map[string]Token, len(list))
	for i, token := range list {
		path := fmt.Sprintf("$[%d]", i)
		if token.Role != RoleRead && token.Role != RoleChange {
			check.Add(path+".role", fmt.Sprintf("is %q", token.Role), "read or change")
		}
		if !hashPattern.MatchString(token.SHA256) {
			check.Add(path+".sha256", "is not a hash", "64 digits of 0-9 a-f, the SHA-256 of the token")
		}
		byHash[token.SHA256] = token
	}
	if err := check.Err(); err != nil {
		return err
	}
	t.byHash.Store(&byHash)
	return nil
}

// Find returns the entry of a token, and reports whether there is one.
func (t *Tokens) Find(token string) (Token, bool) {
	t.watch.refresh()
	sum := sha256.Sum256([]byte(token))
	found, ok := (*t.byHash.Load())[hex.EncodeToString(sum[:])]
	return found, ok
}
