package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/declaration"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/settings"
	"github.com/tideliftd/tidelift/internal/store"
)

const testSettings = `name: host-0
data-centre: dc0
service: lookup
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", control: "127.0.0.1:3", operators: "127.0.0.1:4", check-ins: "127.0.0.1:5", ready: "127.0.0.1:6"}
platform: {address: "http://127.0.0.1:7"}
keys: {trusted-network: true}
source: {declared: platform}
`

// storeOfDeclaration returns a store that holds a declaration and never changes.
func storeOfDeclaration() store.Store {
	return store.Store{
		List: func(context.Context, string) (store.Batch, error) {
			return store.Batch{Items: []store.Item{{Key: "declaration", Data: []byte("{}"), Revision: 1}}, Revision: 1}, nil
		},
		Watch: func(ctx context.Context, _ string, _ int64, _ time.Duration) (store.Batch, error) {
			<-ctx.Done()
			return store.Batch{}, ctx.Err()
		},
	}
}

// newTestDaemon returns a daemon that has a declaration of two services in force and no listeners.
func newTestDaemon(tb testing.TB) *daemon {
	tb.Helper()
	s, err := settings.Parse("settings.yaml", []byte(testSettings))
	if err != nil {
		tb.Fatal(err)
	}
	d := &daemon{config: Config{
		Settings: s,
		Logger:   slog.New(slog.DiscardHandler),
		Store:    storeOfDeclaration(),
		StoredDeclaration: declaration.Stored{
			Key:              "declaration",
			EvacuationPrefix: "evacuations/",
			Number:           func([]byte) (int64, error) { return 1, nil },
			Redact:           func(data []byte) ([]byte, error) { return data, nil },
			Parse: func([]byte, settings.Source) (fleet.Declaration, error) {
				services := []fleet.Service{{Name: "lookup", FloorShare: 0.7}, {Name: "records", FloorShare: 0.7}}
				return fleet.Declaration{Services: services, Routes: []fleet.Route{{Path: "/", Service: "lookup"}}}.Complete(), nil
			},
		},
	}}
	d.live.Store(&s)
	tb.Cleanup(d.cleanUp)
	if err := d.build(); err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	go d.declarations.Run(ctx)
	for d.declarations.Revision() == 0 {
		time.Sleep(time.Millisecond)
	}
	return d
}

// testHost returns the record of a host in one of five data centres, with a backend server.
func testHost(n int) member.Host {
	service := "lookup"
	if n%4 == 3 {
		service = "records"
	}
	name := fmt.Sprintf("host-%d", n)
	return member.Host{
		Name: name, DataCentre: fmt.Sprintf("dc%d", n%5), Start: "a", Incarnation: 1, Version: 1,
		Peers: fmt.Sprintf("10.1.%d.%d:2", n/250, n%250), Control: fmt.Sprintf("10.1.%d.%d:3", n/250, n%250),
		Servers: []member.Server{{Name: "i-" + name, Service: service, Address: fmt.Sprintf("10.1.%d.%d:9", n/250, n%250), Slots: 6}},
	}
}

// BenchmarkReapply puts the declaration in force again with that many hosts, as after a change of one
// of them.
func BenchmarkReapply(b *testing.B) {
	for _, count := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			d := newTestDaemon(b)
			hosts := make([]member.Host, 0, count)
			for n := 1; n < count; n++ {
				hosts = append(hosts, testHost(n))
			}
			d.members.Learn("", hosts)
			b.ReportAllocs()
			for b.Loop() {
				d.declarations.Reapply()
			}
		})
	}
}
