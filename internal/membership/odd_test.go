package membership

import (
	"log/slog"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/registry"
)

// TestOwnRecordStaysValid guards against a registration by which the host's record becomes one that all other daemons
// refuse.
func TestOwnRecordStaysValid(t *testing.T) {
	m := New(Config{
		Self: recordOf("csepel-1"), Registers: true, Logger: slog.New(slog.DiscardHandler), Reapply: func() {},
		Services: func() ([]fleet.Service, bool) { return nil, false },
	})
	long := strings.Repeat("x", 1000)
	registrations := m.Registrations()
	for _, c := range []registry.Registration{
		{Name: long, Service: "lookup", Address: "127.0.0.1:1", Slots: 4},
		{Name: "i-1", Service: long, Address: "127.0.0.1:1", Slots: 4},
		{Name: "i-1", Service: "lookup", Address: "127.0.0.1:0", Slots: 4},
	} {
		if err := registrations.Register(c); err == nil {
			t.Errorf("%v was registered", c)
		}
	}
	registrations.Leave(long)
	if err := m.known.self().Check(); err != nil {
		t.Error(err)
	}
}
