// Package result defines the numbered result codes of requests that tidelift
// refuses or fails.
//
// The first digit of a code gives the class of the result:
//
//	1xxx  invalid request; it was not run and will not be
//	2xxx  refused; it was not run and will not be; retry later
//	3xxx  unknown outcome; it may have run
//	4xxx  an operator's call was refused
//
// # Usage
//
//	return result.New(result.QueueFull).WithRetryAfter(200 * time.Millisecond)
//	...
//	refusal := result.From(err)
//	if refusal.Code.Ran == result.RanNo { ... }
//
// docs/RESULT-CODES.md is generated from All, and a test checks that they agree.
package result

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Ran states whether a request was run, as far as that is known.
type Ran string

// The values of Ran.
const (
	// RanNo means that the request was not run and will not be.
	RanNo Ran = "no"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "unknown"
)

// Code is a numbered result code.
type Code struct {
	// Number never changes.
	Number int
	// Name is the code's name in metrics and responses.
	Name string
	// Status is the HTTP status of the response.
	Status int
	// Ran states whether the request may have run.
	Ran Ran
	// Meaning describes the result, in responses and in the docs.
	Meaning string
}

// Error is an error with a result code.
type Error struct {
	// Code is the result code.
	Code Code
	// Detail supplements the code's meaning; it may be empty.
	Detail string
	// RetryAfter is the time to wait before a retry; zero if unspecified.
	RetryAfter time.Duration
	// Cause is the underlying error; it may be nil.
	Cause error
}

// New returns an error with the code.
func New(code Code) *Error {
	return &Error{Code: code}
}

// Wrap returns an error with the code and the underlying error.
func Wrap(code Code, cause error) *Error {
	return &Error{Code: code, Cause: cause}
}

// WithDetail returns a copy of e with the detail.
func (e *Error) WithDetail(format string, args ...any) *Error {
	c := *e
	c.Detail = fmt.Sprintf(format, args...)
	return &c
}

// WithRetryAfter returns a copy of e with the time to wait before a retry.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	c := *e
	c.RetryAfter = after
	return &c
}

// Error returns the code's number and name with the detail and cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s", e.Code.Number, e.Code.Name)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// From returns err as an *Error. An error without a code becomes ConnectionLost,
// since the request may have run.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(ConnectionLost, err)
}

// ByNumber returns the code with the number and reports whether it exists.
func ByNumber(number int) (Code, bool) {
	code, ok := byNumber[number]
	return code, ok
}

var byNumber = func() map[int]Code {
	codes := make(map[int]Code)
	for _, code := range All() {
		codes[code.Number] = code
	}
	return codes
}()
