package control_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/internal/control"
)

// TestRevisionRoundTrip guards against texts that change in transit, and against long ones
// that take more than a fifth of their size.
func TestRevisionRoundTrip(t *testing.T) {
	var routes strings.Builder
	for i := range 300 {
		fmt.Fprintf(&routes, "- {host: a.example, path: /p%d/, service: lookup, deadline: 5s, target: 1s}\n", i)
	}
	for name, text := range map[string]string{"long": routes.String(), "short": "hosts: []", "none": ""} {
		data, err := json.Marshal(control.RevisionResponse{Revision: control.Revision{Number: 7, YAML: text}})
		if err != nil {
			t.Fatal(err)
		}
		var held control.RevisionResponse
		if err := json.Unmarshal(data, &held); err != nil {
			t.Fatal(err)
		}
		if held.Revision.YAML != text || held.Revision.Number != 7 {
			t.Errorf("%s: the revision changed in transit", name)
		}
		if name == "long" && len(data) > len(text)/5 {
			t.Errorf("%d bytes for a text of %d", len(data), len(text))
		}
	}
}
