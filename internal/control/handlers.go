package control

import (
	"context"
	"encoding/json"

	"github.com/tideliftd/tidelift/internal/result"
)

// Handler answers the calls of one method.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Handlers maps methods to their handlers.
type Handlers map[Method]Handler

// Handle passes a call to the handler of its method. It can be used as a Handle.
func (h Handlers) Handle(ctx context.Context, method Method, params json.RawMessage) (any, error) {
	handler, ok := h[method]
	if !ok {
		return nil, result.New(result.MalformedCall).WithDetail("unknown method %q", method)
	}
	return handler(ctx, params)
}

// Done is the empty response to a call.
type Done struct{}

// Decode decodes the parameter of a call. Its error carries MalformedCall.
func Decode(params json.RawMessage, into any) error {
	if err := json.Unmarshal(params, into); err != nil {
		return result.Wrap(result.MalformedCall, err)
	}
	return nil
}
