package hop

import (
	"context"
	"net/http"
	"net/http/httptrace"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/heads"
	"github.com/tideliftd/tidelift/internal/result"
)

// Sender sends requests to one address.
type Sender struct {
	// Transport sends the requests.
	Transport *http.Transport
	// TLS means that the receiver authenticates itself with a certificate.
	TLS bool
	// Address is the IP:port of the receiver.
	Address string
	// Unreachable is the code for a receiver to which no connection was made.
	Unreachable result.Code
	// SetHeaders adds headers to a request; it may be nil. Nothing is sent if it fails.
	SetHeaders func(http.Header) error
}

// Send sends the request once and returns the head of the answer, whose body must be closed. The
// error is a *result.Error; a code with RanNo proves that nothing was sent.
func (s Sender) Send(ctx context.Context, in *http.Request) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	out := Outgoing(httptrace.WithClientTrace(ctx, trace), in, s.Address)
	forbidReplay(out)
	if s.TLS {
		out.URL.Scheme = "https"
	}
	if s.SetHeaders != nil {
		if err := s.SetHeaders(out.Header); err != nil {
			return nil, result.Wrap(result.MalformedRequest, err)
		}
	}
	response, err := s.Transport.RoundTrip(out)
	if err != nil {
		return nil, Classify(ctx, connected, s.Unreachable, err)
	}
	if err := heads.CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, result.Wrap(result.ConnectionLost, err)
	}
	if err := CheckFraming(response); err != nil {
		_ = response.Body.Close()
		return nil, result.Wrap(result.UnframedAnswer, err)
	}
	return response, nil
}

// Classify distinguishes a request that was never sent from one that may have run. Without a
// connection a request was not sent; unreachable is the code for that case.
func Classify(ctx context.Context, connected bool, unreachable result.Code, err error) *result.Error {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	gone := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case !connected && expired:
		return result.Wrap(result.DeadlineBeforeRun, err)
	case !connected && gone:
		return result.Wrap(result.CancelledBefore, err)
	case !connected:
		return result.Wrap(unreachable, err)
	case expired:
		return result.Wrap(result.DeadlineWhileRunning, err)
	case gone:
		return result.Wrap(result.CallerGone, err)
	default:
		return result.Wrap(result.ConnectionLost, err)
	}
}
