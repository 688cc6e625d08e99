// Package fingerprint tells whether two requests are the same one come again, whatever their ids.
//
// # Usage
//
//	r := fingerprint.Request{Method: "POST", Host: "a.example", Path: "/orders/7", Customer: "library-12", Body: body.First}
//	if view.HasHead(r.Head()) { // the body is not read
//		id, err := r.Digest()
//	}
//
// # Rules
//
//   - Two requests are the same if method, host name, path, query, customer and body are. Whoever
//     sent them and where they came in does not matter: the same request comes at any host, and
//     what one customer sends says nothing of another's requests.
//   - Of a body only the first BodyBytes count, so that a longer one can be known before it has
//     streamed through. Bodies that differ later are taken for the same.
//   - A head is a hash to look something up by and may collide. A digest is one that nobody can
//     make collide on purpose: callers choose their bodies, and a request that is refused for
//     another's fingerprint would be theirs to bring about.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

const (
	// BodyBytes is how much of a body counts. Source: what the daemon keeps of a body to send it
	// again.
	BodyBytes = 64 << 10
	// digestBytes is the length of a digest. Source: to find a second request for a given digest takes
	// 2^128 tries.
	digestBytes = 16
)

// Request is what counts of a request.
type Request struct {
	Method   string
	Host     string
	Path     string
	Query    string
	Customer string // for whom it is; empty if that is not known
	// Body returns the first bytes of the body, at most so many; nil if there is none.
	Body func(limit int) ([]byte, error)
}

// HeadHash returns a hash of all but the body.
func (r Request) HeadHash() uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, part := range r.parts() {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0}) // no part of a request holds it
	}
	return h.Sum64()
}

// parts returns what a head is of.
func (r Request) parts() [5]string {
	return [5]string{r.Method, r.Host, r.Path, r.Query, r.Customer}
}

// Digest returns the fingerprint of the whole request, in hexadecimal digits. It fails if the body
// cannot be read.
func (r Request) Digest() (string, error) {
	var body []byte
	if r.Body != nil {
		first, err := r.Body(BodyBytes)
		if err != nil {
			return "", errors.Wrap(err, "read body for its fingerprint")
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
