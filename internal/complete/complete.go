// Package complete decides whether an answer of a backend server is complete.
//
// An answer with a length or in chunks says itself where it ends. One without either ends with its connection, and the end of
// a connection has many causes: the backend server was done, the kernel closed the connection of a process that had crashed, or a
// reset, which the kernel reports only once, was reported to a write of the request, so that a read sees an ordinary end.
// Such an answer counts as complete only if nothing speaks against it.
//
// # Usage
//
//	framing := complete.FramingOf(response)
//	...
//	err := complete.Check(complete.End{Framing: framing, Request: complete.RequestSent, Stream: complete.StreamClosed})
//
// The package has no state, clock or socket.
package complete

import (
	"net/http"

	"github.com/go-faster/errors"
)

// ErrIncomplete means that an answer may lack its last part.
var ErrIncomplete = errors.New("answer may be incomplete")

// Framing says what ends an answer.
type Framing string

// The framings of answers.
const (
	// FramingNone means that the answer has no body.
	FramingNone Framing = "none"
	// FramingLength means that the answer says its length.
	FramingLength Framing = "length"
	// FramingChunks means that the answer comes in chunks.
	FramingChunks Framing = "chunks"
	// FramingClose means that the answer ends with its connection.
	FramingClose Framing = "close"
)

// Request says how far the request was sent when its answer ended.
type Request string

// The states of a request.
const (
	// RequestSending means that a part of it remains to be sent.
	RequestSending Request = "sending"
	// RequestSent means that all of it was sent.
	RequestSent Request = "sent"
	// RequestCut means that sending it failed.
	RequestCut Request = "cut"
)

// Stream says how a connection ended.
type Stream string

// The ends of connections.
const (
	// StreamUnknown means that the kernel does not tell.
	StreamUnknown Stream = "unknown"
	// StreamClosed means that the peer has closed its side in order.
	StreamClosed Stream = "closed"
	// StreamReset means that the connection was reset.
	StreamReset Stream = "reset"
)

// End is what is known when an answer has been read to its end without an error.
type End struct {
	Framing Framing
	Request Request
	Stream  Stream
	// ServerEnded means that the backend server accepts no connections any more: it may have crashed.
	ServerEnded bool
}

// Check returns an error that wraps ErrIncomplete if the answer may lack its last part.
func Check(end End) error {
	if end.Framing != FramingClose {
		return nil
	}
	switch {
	case end.Request == RequestCut:
		return errors.Wrap(ErrIncomplete, "sending the request has failed")
	case end.Stream == StreamReset:
		return errors.Wrap(ErrIncomplete, "the connection was reset")
	case end.Stream == StreamUnknown && end.Request == RequestSending:
		return errors.Wrap(ErrIncomplete, "the connection ended while the request was being sent")
	case end.ServerEnded:
		return errors.Wrap(ErrIncomplete, "the backend server has ended")
	}
	return nil
}

// FramingOf returns the framing of a response.
func FramingOf(response *http.Response) Framing {
	switch {
	case !HasBody(response):
		return FramingNone
	case len(response.TransferEncoding) > 0:
		return FramingChunks
	case response.ContentLength >= 0:
		return FramingLength
	}
	return FramingClose
}

// HasBody reports whether a response to its request may have a body.
func HasBody(response *http.Response) bool {
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return false
	}
	return response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified
}
