package ingress

import (
	"net/http"

	"github.com/tideliftd/tidelift/internal/route"
)

// MayPipeline reports whether a caller's request may run beside others of its connection: its method is safe, and its route
// exists, allows it to run more than once, and is long. It does not block.
//
// Safe methods only (RFC 9112, section 9.3.2): a DELETE may run more than once, but not after the GET behind it.
func (in *Ingress) MayPipeline(r *http.Request) bool {
	current := in.state.Load()
	if current == nil || !isSafe(r.Method) {
		return false
	}
	match, ok := current.routes.Find(r.Host, route.SentPath(r.URL))
	return ok && match.Idempotent(r.Method) && in.isLong(match.Target)
}

// isSafe reports whether requests with the method change nothing, so that their order does not matter.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
