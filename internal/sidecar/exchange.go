package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/backend"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// headers holds the declared names of the headers of requests and answers.
type headers struct {
	fleet.Callers
	fleet.Answers
}

// exchange sends the request to the backend server and returns its checked
// answer.
func (s *Sidecar) exchange(ctx context.Context, server *server, call hop.Call, in *http.Request, began time.Time) (*http.Response, error) {
	names := s.headers.Load()
	out := hop.Outgoing(ctx, in, server.address())
	left := call.TimeLeft - time.Since(began)
	out.Header.Set(names.DeadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
	names.address(out.Header, call)
	sentAt := time.Now()
	response, err := server.pool.Do(ctx, out, func(r *http.Response) bool { return names.matches(r, in) })
	if err != nil {
		sent := !errors.Is(err, backend.ErrNotSent)
		return nil, hop.Classify(ctx, sent, result.ServerUnreachable, err)
	}
	s.recordLimit(server, response.Header, sentAt)
	s.recordDraining(server, response.Header)
	if failure := names.check(response); failure != nil {
		_ = response.Body.Close()
		return nil, failure
	}
	if err := hop.BufferShort(response); err != nil {
		return nil, hop.Classify(ctx, true, result.ServerUnreachable, err)
	}
	return response, nil
}

// address sets the headers that name the backend server and the service where the request began.
func (h *headers) address(out http.Header, call hop.Call) {
	if h.TargetHeader != "" {
		out.Set(h.TargetHeader, call.BackendServer)
	}
	if h.OriginHeader != "" {
		out.Set(h.OriginHeader, call.Origin)
	}
}

// id returns the ID that the caller gave the request; it may be empty.
func (h *headers) id(header http.Header) string {
	if h.IDHeader == "" {
		return ""
	}
	return header.Get(h.IDHeader)
}

// matches reports whether the answer belongs to the request, by the ID that the backend server
// echoes.
func (h *headers) matches(response *http.Response, in *http.Request) bool {
	if h.IDHeader == "" {
		return true
	}
	return response.Header.Get(h.IDHeader) == in.Header.Get(h.IDHeader)
}

// check returns what is wrong with the head of an answer, or nil. If NotRunHeader is declared, a
// status that promises that the request was not run counts as a failure unless the answer has that
// header.
func (h *headers) check(response *http.Response) *result.Error {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return result.New(result.Misdirected)
	}
	if h.NotRunHeader != "" {
		if response.Header.Get(h.NotRunHeader) != "" {
			return result.New(result.NotTaken).WithDetail("status %d", response.StatusCode)
		}
		if impliesNotRun(response.StatusCode) {
			return result.New(result.ServerFailed).WithDetail("status %d", response.StatusCode)
		}
	}
	if h.SignatureHeader == "" {
		if err := hop.CheckFraming(response); err != nil {
			return result.Wrap(result.UnframedAnswer, err)
		}
		return nil
	}
	return h.checkSigned(response)
}

// checkSigned checks an answer of a backend server that signs its answers. An answer that ends with
// its connection may be incomplete, which reading its body to its end shows (package complete).
func (h *headers) checkSigned(response *http.Response) *result.Error {
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	if success && response.Header.Get(h.SignatureHeader) == "" {
		return result.New(result.SpoiltAnswer).WithDetail("successful answer without %s", h.SignatureHeader)
	}
	if coding := response.Header.Get("Content-Encoding"); coding != "" {
		return result.New(result.SpoiltAnswer).WithDetail("content coding %q was not requested", coding)
	}
	return nil
}

// impliesNotRun reports whether callers take the status as a promise that the request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
