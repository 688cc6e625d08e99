package declaration

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/evacuationsync"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/membership"
	"github.com/tideliftd/tidelift/internal/quarantinesync"
	"github.com/tideliftd/tidelift/internal/storehealth"
)

// TestNoticeFetchesRevisionWithoutDeclaration guards against a daemon without a declaration that
// ignores notices, because it knows only the hosts that registered themselves.
func TestNoticeFetchesRevisionWithoutDeclaration(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	called := make(chan control.Method, 1)
	cleanUp := control.Serve(control.ServerConfig{Listener: listener, Handle: func(_ context.Context, method control.Method, _ json.RawMessage) (any, error) {
		called <- method
		return control.RevisionResponse{}, nil
	}})
	defer cleanUp()
	peers, cleanUp := control.NewClient(control.ClientConfig{})
	defer cleanUp()
	f := New(Config{
		Health: storehealth.New(storehealth.Config{}), Peers: peers, Members: membership.New(membership.Config{
			Self: member.Host{Name: "csepel-1"}, Registers: true, Logger: slog.New(slog.DiscardHandler), Reapply: func() {},
		}), Quarantines: quarantinesync.New(quarantinesync.Config{Scope: tally.NoopScope}), Evacuations: evacuationsync.New(evacuationsync.Config{}),
	})
	f.config.Members.Learn("", []member.Host{{Name: "csepel-2", Control: listener.Addr().String(), Start: "a", Incarnation: 1, Version: 1}})
	f.receiveNotice(control.Notice{Host: "csepel-2", Revision: 7})
	select {
	case method := <-called:
		if method != control.MethodRevision {
			t.Fatalf("unexpected call of %s", method)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the notice was ignored")
	}
}
