package control

import (
	"context"
	"encoding/json"

	"github.com/tideliftd/tidelift/internal/result"
)

// Handler answers the calls of one method.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Handlers holds the handler of each method.
type Handlers map[Method]Handler

// Handle answers a call by its method's handler; it is a Handle.
func (h Handlers) Handle(ctx context.Context, method Method, params json.RawMessage) (any, error) {
	handler, ok := h[method]
	if !ok {
		return nil, result.New(result.MalformedCall).WithDetail("no method %q", method)
	}
	return handler(ctx, params)
}

// Done answers a call that has nothing to say.
type Done struct{}

// Decode reads the parameter of a call.
func Decode(params json.RawMessage, into any) error {
	if err := json.Unmarshal(params, into); err != nil {
		return result.Wrap(result.MalformedCall, err)
	}
	return nil
}
