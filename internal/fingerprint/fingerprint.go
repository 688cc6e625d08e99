// Package fingerprint identifies repeated requests by their content, regardless of their request IDs.
//
// # Usage
//
//	r := fingerprint.Request{Method: "POST", Host: "a.example", Path: "/orders/7", Customer: "library-12", Body: body.First}
//	if view.MayContain(r.HeadHash()) { // does not read the body
//		id, err := r.Digest()
//	}
//
// # Rules
//
//   - Two requests are the same if their method, host name, path, query, customer and body are equal. The sender and
//     the receiving host do not count: a repeated request may arrive at any host. Requests of different customers
//     are never the same.
//   - Only the first MaxBodyBytes of a body count, so a longer request is identified before its whole body has
//     been received. Bodies that differ later are considered equal.
//   - A head hash serves as a lookup key and may collide. A digest resists second-preimage attacks: clients choose
//     their bodies, and could otherwise cause another client's request to be refused.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

const (
	// MaxBodyBytes is the length of the body prefix that counts, which is what the daemon buffers for retries.
	MaxBodyBytes = 64 << 10
	// digestBytes is the length of a digest before encoding. Finding another request with a given digest takes 2^128
	// attempts.
	digestBytes = 16
)

// Request holds the parts of a request that identify it.
type Request struct {
	Method   string
	Host     string
	Path     string
	Query    string
	Customer string // empty if unknown
	// Body returns the first bytes of the body, at most limit. It is nil if the request has no body.
	Body func(limit int) ([]byte, error)
}

// HeadHash returns a hash of everything but the body.
func (r Request) HeadHash() uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, part := range r.parts() {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0}) // separator; no part contains a zero byte
	}
	return h.Sum64()
}

// parts returns all parts but the body.
func (r Request) parts() [5]string {
	return [5]string{r.Method, r.Host, r.Path, r.Query, r.Customer}
}

// Digest returns the fingerprint of the request, including the body, in hexadecimal. It returns an error if the body
// cannot be read.
func (r Request) Digest() (string, error) {
	var body []byte
	if r.Body != nil {
		first, err := r.Body(MaxBodyBytes)
		if err != nil {
			return "", errors.Wrap(err, "read body for fingerprint")
		}
		body = first
	}
	h := sha256.New()
	var length [8]byte
	for _, part := range r.parts() {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes]), nil
}
