// Package customer finds the customer to whom a caller's key belongs.
//
// A key is known only by its SHA-256 digest: neither the declaration nor a daemon's memory,
// log or answers hold the key itself. Keys are long and drawn at random, so that a digest
// without a salt gives nothing away; a key that a person chose could be guessed from it.
//
// # Usage
//
//	table, err := customer.NewTable(declaration.Customers)
//	if key, ok := customer.KeyOf(request.Header); ok {
//		found, ok := table.Find(key)
//	}
//
// A look-up takes one digest and one map access, whatever the number of customers, and
// allocates nothing: BenchmarkFind has the figures.
package customer

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/fleet"
)

// Header carries a caller's key, after scheme and a blank.
const (
	Header = "Authorization"
	scheme = "Bearer"
)

// MaxKeyBytes is the longest key that is looked up, in bytes. Source: tidelift key makes keys
// of 64 characters; a digest of anything longer is work that any caller could ask for.
const MaxKeyBytes = 256

// keyBytes is how many random bytes a new key has: as many as its digest, so that neither of
// the two is easier to guess.
const keyBytes = sha256.Size

// Table finds customers by key. It is read-only and may be shared.
type Table struct {
	customers []fleet.Customer
	byDigest  map[[sha256.Size]byte]int32 // an index in customers
}

// NewTable returns the table of the declared customers.
func NewTable(customers []fleet.Customer) (*Table, error) {
	t := &Table{customers: customers, byDigest: make(map[[sha256.Size]byte]int32, 2*len(customers))}
	for i, c := range customers {
		for _, text := range c.Keys {
			digest, err := fleet.ParseKeyDigest(text)
			if err != nil {
				return nil, errors.Wrapf(err, "key of customer %s", c.Name)
			}
			t.byDigest[digest] = int32(i)
		}
	}
	return t, nil
}

// Find returns the customer to whom the key belongs.
func (t *Table) Find(key string) (*fleet.Customer, bool) {
	if len(key) > MaxKeyBytes {
		return nil, false
	}
	var buffer [MaxKeyBytes]byte
	n := copy(buffer[:], key)
	i, ok := t.byDigest[sha256.Sum256(buffer[:n])]
	if !ok {
		return nil, false
	}
	return &t.customers[i], true
}

// KeyOf returns the key that the headers carry, or false if they carry none. Headers that carry
// something else, or several keys, give the empty key, which belongs to no customer.
func KeyOf(h http.Header) (string, bool) {
	values := h[Header]
	if len(values) == 0 {
		return "", false
	}
	if len(values) > 1 {
		return "", true // which of them counts would be a guess
	}
	name, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(name, scheme) {
		return "", true
	}
	return strings.TrimSpace(key), true
}

// Digest returns the key's digest as a declaration has it.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// NewKey draws a key.
func NewKey() string {
	var data [keyBytes]byte
	_, _ = rand.Read(data[:]) // documented never to fail
	return hex.EncodeToString(data[:])
}
