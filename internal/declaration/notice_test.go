package declaration

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/evacuationsync"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/membership"
	"github.com/tideliftd/tidelift/internal/quarantinesync"
	"github.com/tideliftd/tidelift/internal/storehealth"
)

// newFollower returns a follower without a declaration, whose host knows no others.
func newFollower(t *testing.T) *Follower {
	t.Helper()
	peers, cleanUp := control.NewClient(control.ClientConfig{Logger: slog.New(slog.DiscardHandler)})
	t.Cleanup(cleanUp)
	logger := slog.New(slog.DiscardHandler)
	return New(Config{
		Host:   "csepel-1",
		Logger: logger,
		Scope:  tally.NoopScope,
		Health: storehealth.New(storehealth.Config{}),
		Peers:  peers,
		Members: membership.New(membership.Config{
			Self: member.Host{Name: "csepel-1", DataCentre: "csepel"}, Registers: true, Logger: logger, Reapply: func() {},
		}),
		Quarantines: quarantinesync.New(quarantinesync.Config{Scope: tally.NoopScope}),
		Evacuations: evacuationsync.New(evacuationsync.Config{}),
		Source: Source{Parse: func(string) (fleet.Declaration, error) {
			return fleet.Declaration{Services: []fleet.Service{{Name: "lookup"}}}, nil
		}},
		Apply: func(*fleet.Index) {},
	})
}

// recordOf returns the record of a host whose daemon listens there.
func recordOf(name string, control net.Listener) member.Host {
	address := control.Addr().String()
	return member.Host{Name: name, DataCentre: "csepel", Peers: address, Control: address, Start: "a", Incarnation: 1, Version: 1}
}

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
	f := newFollower(t)
	f.config.Members.Learn("", []member.Host{recordOf("csepel-2", listener)})
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

// TestAnnouncedRevisionIsFetchedOnce guards against a daemon that fetches a revision from each of
// the daemons that announce it at the same time.
func TestAnnouncedRevisionIsFetchedOnce(t *testing.T) {
	const announcing = 6
	var fetched atomic.Int64
	handle := func(_ context.Context, method control.Method, _ json.RawMessage) (any, error) {
		if method != control.MethodRevision {
			return control.Done{}, nil // the daemon announces the revision in turn
		}
		fetched.Add(1)
		time.Sleep(20 * time.Millisecond) // so that all announcements have arrived
		return control.RevisionResponse{Revision: control.Revision{Number: 7, YAML: "{}"}}, nil
	}
	f := newFollower(t)
	for n := range announcing {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(control.Serve(control.ServerConfig{Listener: listener, Handle: handle}))
		name := fmt.Sprintf("obuda-%d", n)
		f.config.Members.Learn("", []member.Host{recordOf(name, listener)})
		f.receiveNotice(control.Notice{Host: name, Revision: 7})
	}
	for end := time.Now().Add(5 * time.Second); f.Revision() != 7; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the revision was not fetched")
		}
	}
	f.fetching.Lock()
	defer f.fetching.Unlock()
	if count := fetched.Load(); count != 1 {
		t.Fatalf("the revision was fetched %d times", count)
	}
}

// TestConfirmationOfUnknownRevisionIsNotRecorded guards against a daemon that counts its declaration as the latest before
// it has fetched a later one that is announced.
func TestConfirmationOfUnknownRevisionIsNotRecorded(t *testing.T) {
	f := newFollower(t)
	silentMs := int64(0)
	f.receiveNotice(control.Notice{Host: "csepel-2", Revision: 7, SilentMs: &silentMs})
	if seen := f.config.Health.LastSeen(); !seen.IsZero() {
		t.Errorf("revision 7 is unknown, and the platform counts as seen %s ago", time.Since(seen))
	}
	f.receiveNotice(control.Notice{Host: "csepel-2", Revision: 0, SilentMs: &silentMs})
	if age := time.Since(f.config.Health.LastSeen()); age > time.Second {
		t.Errorf("a confirmation of the revision in force was not recorded: seen %s ago", age)
	}
}
