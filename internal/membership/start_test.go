package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/record"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/storehealth"
)

// TestListedHostsStayInTheDataCentre guards against daemons that send each other all records that they
// have read from the store: when a fleet starts, that is its square between data centres.
func TestListedHostsStayInTheDataCentre(t *testing.T) {
	var remote, local atomic.Int64
	listen := func(received *atomic.Int64) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		handle := func(_ context.Context, _ control.Method, params json.RawMessage) (any, error) {
			var updates control.HostUpdates
			if err := control.Decode(params, &updates); err != nil {
				return nil, err
			}
			received.Add(int64(len(updates.Hosts)))
			return control.HostUpdatesResponse{}, nil
		}
		t.Cleanup(control.Serve(control.ServerConfig{Listener: listener, Handle: handle}))
		return listener.Addr().String()
	}
	plan := gossip.NewPlan(gossip.Config{Host: "csepel-0", DataCentre: "csepel", Random: func() uint64 { return 0 }}, []fleet.Host{
		{Name: "csepel-0", DataCentre: "csepel"},
		{Name: "csepel-1", DataCentre: "csepel", Control: listen(&local)},
		{Name: "obuda-1", DataCentre: "obuda", Control: listen(&remote)},
	})
	peers, cleanUp := control.NewClient(control.ClientConfig{DataCentre: "csepel", Logger: slog.New(slog.DiscardHandler)})
	t.Cleanup(cleanUp)
	const listed = 196
	list := func(context.Context, string) (batch store.Batch, err error) {
		for n := range listed {
			h := recordOf(fmt.Sprintf("csepel-%d", n+1))
			data, err := json.Marshal(h)
			if err != nil {
				return store.Batch{}, err
			}
			batch.Items = append(batch.Items, store.Item{Key: "/hosts/csepel/" + h.Name, Data: data})
		}
		return batch, nil
	}
	logger := slog.New(slog.DiscardHandler)
	m := New(Config{
		Self: member.Host{Name: "csepel-0", DataCentre: "csepel"}, Registers: true, Logger: logger,
		Plan: func() *gossip.Plan { return plan }, Peers: peers, Reapply: func() {},
		Record: record.Config{Store: store.Store{List: list}, Health: storehealth.New(storehealth.Config{Logger: logger})},
	})
	go m.sendUpdates(t.Context())
	m.record.ReadAll(t.Context())
	for end := time.Now().Add(5 * time.Second); local.Load() < listed && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	m.enqueue("", []member.Host{m.known.self()})
	for end := time.Now().Add(5 * time.Second); remote.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if local.Load() < listed || remote.Load() != 1 {
		t.Errorf("%d records were sent within the data centre and %d to another; want %d and the host's own", local.Load(), remote.Load(), listed)
	}
}
