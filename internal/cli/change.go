package cli

import (
	"net"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/result"
)

// unknownError is the failure of a change that may have been made all the same.
type unknownError struct{ cause error }

// Error returns the cause.
func (e *unknownError) Error() string { return explain(e.cause) + "; the change may have been made" }

// Unwrap returns the cause.
func (e *unknownError) Unwrap() error { return e.cause }

// changeFailed returns the failure of a change. It is an *unknownError unless nothing was changed: the daemon
// refused it with such a code, or was never reached.
func changeFailed(err error) error {
	var refused *operatorapi.RefusedStatusCode
	if errors.As(err, &refused) {
		code, ok := result.ByNumber(refused.Response.Code)
		if ok && code.Ran == result.RanNo {
			return err
		}
		return &unknownError{cause: err}
	}
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return err
	}
	return &unknownError{cause: err}
}
