package cli

import (
	"net"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/result"
)

// outcomeUnknownError is the error of a change that may nevertheless have been made.
type outcomeUnknownError struct{ cause error }

// Error returns the text of the cause with a note that the outcome is unknown.
func (e *outcomeUnknownError) Error() string {
	return explain(e.cause) + "; the change may have been made"
}

// Unwrap returns the cause.
func (e *outcomeUnknownError) Unwrap() error { return e.cause }

// changeError returns err, wrapped in an *outcomeUnknownError unless it shows that nothing was changed: the daemon
// refused the change with a code that says so, or could not be reached.
func changeError(err error) error {
	var refused *operatorapi.RefusedStatusCode
	if errors.As(err, &refused) {
		code, ok := result.ByNumber(refused.Response.Code)
		if ok && code.Ran == result.RanNo {
			return err
		}
		return &outcomeUnknownError{cause: err}
	}
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return err
	}
	return &outcomeUnknownError{cause: err}
}
