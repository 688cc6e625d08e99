// Package customer finds the customer that a caller's API key belongs to.
//
// A key is known only by its SHA-256 digest: neither the declaration nor a daemon's memory,
// log or answers contain the key itself. The digest is unsalted, which is safe only for long
// random keys; any other key could be guessed from its digest.
//
// # Usage
//
//	table, err := customer.NewTable(declaration.Customers)
//	if key, ok := customer.KeyOf(request.Header); ok {
//		found, ok := table.Find(key)
//	}
//
// A lookup takes one digest and one map access, regardless of the number of customers, and
// does not allocate; see BenchmarkFind.
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

// Header is the name of the header that carries a caller's key, after the scheme and a space.
const (
	Header = "Authorization"
	scheme = "Bearer"
)

// MaxKeyBytes is the longest key that is looked up, in bytes. It bounds the hashing work that a
// caller can cause; generated keys have 64 characters.
const MaxKeyBytes = 256

// keyBytes is the number of random bytes of a new key. It equals the digest size, so that
// neither is easier to guess.
const keyBytes = sha256.Size

// Table finds customers by key. It is immutable and safe for concurrent use.
type Table struct {
	customers []fleet.Customer
	byDigest  map[[sha256.Size]byte]int32 // index in customers
}

// NewTable returns the table of the declared customers, or an error if a key digest is invalid.
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

// Find returns the customer that the key belongs to, and reports whether there is one.
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

// KeyOf returns the key in the headers, and reports whether they carry an Authorization header.
// A header of another scheme, or several headers, give the empty key, which belongs to no
// customer.
func KeyOf(h http.Header) (string, bool) {
	values := h[Header]
	if len(values) == 0 {
		return "", false
	}
	if len(values) > 1 {
		return "", true // ambiguous
	}
	name, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(name, scheme) {
		return "", true
	}
	return strings.TrimSpace(key), true
}

// Digest returns the key's digest in the form used by declarations.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// NewKey returns a new random key.
func NewKey() string {
	var data [keyBytes]byte
	_, _ = rand.Read(data[:]) // never returns an error
	return hex.EncodeToString(data[:])
}
