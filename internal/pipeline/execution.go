package pipeline

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
)

// execution is a request that was started ahead and is not yet answered.
type execution struct {
	started
	answer    *answer
	cancel    context.CancelFunc
	answering bool // net/http has come to the request
	delivered bool // the answer has been written
}

// run runs the handler.
func (e *execution) run(handler http.Handler) {
	returned := false
	defer func() {
		var panicked any
		if !returned {
			panicked = describe(recover())
		}
		e.cancel()
		e.answer.end(panicked)
	}()
	handler.ServeHTTP(e.answer, e.request)
	returned = true
}

// describe adds the stack to what a handler has panicked with, since net/http sees the panic in another goroutine. A
// handler that ends its goroutine aborts.
func describe(panicked any) any {
	if panicked == nil || panicked == http.ErrAbortHandler { //nolint:errorlint // as net/http
		return http.ErrAbortHandler
	}
	return fmt.Sprintf("%v\nin a request started ahead:\n%s", panicked, debug.Stack())
}

// matches reports whether net/http has read the request.
func (e *execution) matches(r *http.Request) bool {
	return bytes.HasPrefix(e.head, []byte(r.Method+" "+r.RequestURI+" "+r.Proto+"\r\n"))
}

// deliver writes the answer for r, the request as net/http has read it.
func (e *execution) deliver(w http.ResponseWriter, r *http.Request) {
	detach := context.AfterFunc(r.Context(), e.cancel)
	defer detach()
	defer func() {
		if !e.delivered {
			e.cancel()
		}
	}()
	e.answer.deliver(w)
	e.delivered = true
}

// discard ends a request that will not be answered.
func (e *execution) discard() {
	e.cancel()
	e.answer.drop()
}
