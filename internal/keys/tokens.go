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

// Role is what a token allows.
type Role string

// The roles.
const (
	// RoleRead may ask.
	RoleRead Role = "read"
	// RoleChange may ask and change.
	RoleChange Role = "change"
)

// Token is one operator's token in the tokens' file, a YAML list.
type Token struct {
	Name   string `yaml:"name" json:"name"`
	Role   Role   `yaml:"role" json:"role"`
	SHA256 string `yaml:"sha256" json:"sha256"`
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// TokensConfig names the tokens' file, which holds hashes and not the tokens themselves.
type TokensConfig struct {
	File string
	// Logger receives events of a file that cannot be read.
	Logger *slog.Logger
}

// Tokens are the operators' tokens.
type Tokens struct {
	config TokensConfig
	watch  *watched
	byHash atomic.Pointer[map[string]Token]
}

// NewTokens reads the file.
func NewTokens(config TokensConfig) (*Tokens, error) {
	t := &Tokens{config: config}
	watch, err := newWatched([]string{config.File}, t.load, config.Logger)
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

// Find returns the entry of a token.
func (t *Tokens) Find(token string) (Token, bool) {
	t.watch.refresh()
	sum := sha256.Sum256([]byte(token))
	found, ok := (*t.byHash.Load())[hex.EncodeToString(sum[:])]
	return found, ok
}
