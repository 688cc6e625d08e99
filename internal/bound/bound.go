// Package bound bounds what is read from other programs: backend servers, other daemons, the platform's store and its
// operators. Any of them may send bytes without end.
//
// The package holds all these bounds and enforces them. Callers' requests are bounded by the settings and by the routes.
//
// # Usage
//
//	data, err := bound.ReadAll(response.Body, bound.StoreAnswer)
//	transport := &http.Transport{MaxResponseHeaderBytes: bound.PeerHead}
//
//	source := bound.NewReader(socket)
//	reader := bufio.NewReader(source)
//	source.Allow(bound.AnswerHead)
//	response, err := http.ReadResponse(reader, request) // fails with ErrExceeded beyond the bound
//	source.AllowAll()                                   // the body is forwarded as it arrives
//
// Units: all bounds are in bytes.
package bound

import (
	"io"
	"math"

	"github.com/go-faster/errors"
)

const (
	// AnswerHead bounds the head of a backend server's answer, together with the interim answers before it.
	AnswerHead = 64 << 10
	// PeerHead bounds the head of another daemon's answer: that of a backend server and the headers of the hop.
	PeerHead = AnswerHead + 16<<10
	// Call bounds a control call or its answer, of which the longest carry a whole declaration or the records of all hosts.
	Call = 32 << 20
	// StoreHead bounds the head of an answer of the store.
	StoreHead = 64 << 10
	// StoreAnswer bounds the body of an answer of the store, whose pages have at most 1 MB.
	StoreAnswer = 8 << 20
	// Registration bounds a registration, which has about 200 bytes.
	Registration = 16 << 10
	// OperatorCall bounds a call of the operator API, of which the longest carries a whole declaration.
	OperatorCall = 32 << 20
	// OperatorAnswer bounds an answer of the operator API as tidelift reads it.
	OperatorAnswer = 64 << 20
)

// ErrExceeded is returned once a bound is exceeded.
var ErrExceeded = errors.New("more bytes than are accepted")

// ReadAll reads to the end. It returns ErrExceeded if there are more bytes than the limit.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.Wrapf(ErrExceeded, "read at most %d bytes", limit)
	}
	return data, nil
}

// Reader reads from a source as much as it is allowed to.
type Reader struct {
	source  io.Reader
	allowed int64
}

// NewReader returns a reader without a bound.
func NewReader(source io.Reader) *Reader { return &Reader{source: source, allowed: math.MaxInt64} }

// Allow allows so many bytes from now on.
func (r *Reader) Allow(count int64) { r.allowed = count }

// AllowAll removes the bound.
func (r *Reader) AllowAll() { r.allowed = math.MaxInt64 }

// Read reads from the source. It returns ErrExceeded when nothing more is allowed.
func (r *Reader) Read(p []byte) (int, error) {
	if r.allowed <= 0 && len(p) > 0 {
		return 0, ErrExceeded
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.allowed)])
	r.allowed -= int64(n)
	return n, err
}
