package ingress

import "net/http"

// MayPipeline reports whether a caller's request may run beside others of its connection: its route exists, allows its
// method to run more than once, and is long. It does not block.
func (in *Ingress) MayPipeline(r *http.Request) bool {
	current := in.state.Load()
	if current == nil {
		return false
	}
	match, ok := current.routes.Find(r.Host, r.URL.Path)
	return ok && match.Idempotent(r.Method) && in.isLong(match.Target)
}
