package control_test

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/result"
)

// TestHandlers covers a method with a handler, one without, and a parameter that cannot be decoded.
func TestHandlers(t *testing.T) {
	handlers := control.Handlers{
		control.MethodReport: func(_ context.Context, params json.RawMessage) (any, error) {
			var name control.Name
			if err := control.Decode(params, &name); err != nil {
				return nil, err
			}
			return name.Name, nil
		},
	}
	tests := map[string]struct {
		method control.Method
		params string
		want   any
		code   result.Code
	}{
		"a handler answers":               {method: control.MethodReport, params: `{"name":"lookup-1"}`, want: "lookup-1"},
		"a method without a handler":      {method: control.MethodPing, params: `{}`, code: result.MalformedCall},
		"a parameter that cannot be read": {method: control.MethodReport, params: `[`, code: result.MalformedCall},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := handlers.Handle(context.Background(), test.method, json.RawMessage(test.params))
			if test.want != nil && (err != nil || got != test.want) {
				t.Fatalf("got %v, %v; want %v", got, err, test.want)
			}
			if test.want == nil && (err == nil || result.From(err).Code != test.code) {
				t.Fatalf("got %v, %v; want %v", got, err, test.code)
			}
		})
	}
}
