package registered

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/member"
)

// hostsPrefix begins the keys of the hosts' records.
const hostsPrefix = "tidelift/hosts/"

// settleTime is how long a foreign record may spread before a test looks at its effect.
const settleTime = 3 * time.Second

// forgedRecord returns a record of host-1 that its daemon did not write. It has no backend servers.
func (f *fleet) forgedRecord(change func(*member.Host)) member.Host {
	h := f.hosts[1]
	forged := member.Host{
		Name: h.daemonName(), DataCentre: "dc0", Peers: h.ip() + ":1002", Control: h.ip() + ":1003",
		Start: "forged", Incarnation: 1, Version: 1,
	}
	change(&forged)
	return forged
}

// expectAllReachable fails the test unless each daemon soon sends requests to all backend servers.
func (f *fleet) expectAllReachable() {
	f.t.Helper()
	for _, h := range f.hosts {
		f.waitUntil("every backend server to be reachable from "+h.daemonName(), func() bool { return h.reachable() == len(f.hosts) })
	}
}

// forgeries are records of host-1 by another writer that are newer than those of its daemon, unless they are refused.
var forgeries = map[string]func(*member.Host){
	"greatest life and version":         func(h *member.Host) { h.Incarnation, h.Version = math.MaxInt64, math.MaxInt64 },
	"greatest life, gone":               func(h *member.Host) { h.Incarnation, h.Version, h.Gone = math.MaxInt64, math.MaxInt64, true },
	"life one below the greatest":       func(h *member.Host) { h.Incarnation = math.MaxInt64 - 1 },
	"greatest version in a likely life": func(h *member.Host) { h.Version, h.Start = math.MaxInt64, "zzz" },
	"a likely life and version":         func(h *member.Host) { h.Incarnation, h.Version = 1000, 1000 },
	"a life of 32 bits":                 func(h *member.Host) { h.Incarnation = math.MaxUint32 },
}

// TestForgedRecordInStore guards against a host whose record another writer has replaced by one with the greatest
// numbers, so that no record of the host's own daemon is newer and its backend servers get no requests.
func TestForgedRecordInStore(t *testing.T) {
	t.Parallel()
	for name, change := range forgeries {
		for _, key := range []string{"dc0/host-1", "dc0/another"} {
			t.Run(name+" under "+key, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 3)
				data, err := json.Marshal(f.forgedRecord(change))
				if err != nil {
					t.Fatal(err)
				}
				for _, h := range f.hosts[:2] {
					h.end()
				}
				f.store.Write(hostsPrefix+key, data)
				for _, h := range f.hosts[:2] {
					h.start()
					h.waitReady()
					h.checkIn("ready")
				}
				time.Sleep(settleTime)
				f.expectAllReachable()
			})
		}
	}
}

// TestForgedRecordFromAnotherDaemon guards against the same record if another daemon sends it, which has it from the
// store or holds it since before it was upgraded.
func TestForgedRecordFromAnotherDaemon(t *testing.T) {
	t.Parallel()
	for name, change := range forgeries {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			client, cleanUp := control.NewClient(control.ClientConfig{Logger: slog.New(slog.DiscardHandler)})
			defer cleanUp()
			updates := control.HostUpdates{Host: "host-0", Hosts: []member.Host{f.forgedRecord(change)}}
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			if err := client.Call(ctx, f.hosts[2].ip()+":1003", control.MethodHostUpdates, updates, nil); err != nil {
				t.Fatal(err)
			}
			time.Sleep(settleTime)
			f.expectAllReachable()
		})
	}
}

// oddRecords are values of another writer among the hosts' records.
func oddRecords() []string {
	record := func(server string) string {
		return fmt.Sprintf(`{"name":"odd","data_centre":"dc0","peers":"127.0.0.1:1","control":"127.0.0.1:1","start":"s","life":1,"version":1,"servers":[%s]}`, server)
	}
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	return []string{
		"", "null", "[]", "7", `"text"`, "{", nested, `{"servers":` + nested + `}`,
		strings.Replace(record(""), `"life":1`, `"life":92233720368547758079`, 1),
		strings.Replace(record(""), `"version":1`, `"version":1e400`, 1),
		strings.Replace(record(""), `"version":1`, `"version":-5`, 1),
		strings.Replace(record(""), "127.0.0.1:1", "127.0.0.1:70000", 1),
		strings.Replace(record(""), "127.0.0.1:1", "", 2),
		strings.Replace(record(""), `"odd"`, `""`, 1),
		strings.Replace(record(""), `"odd"`, `"`+strings.Repeat("x", 500_000)+`"`, 1),
		record(`{"name":"i","service":"lookup","address":"127.0.0.1:70000","slots":4}`),
		record(`{"name":"i","service":"lookup","address":"127.0.0.1","slots":4}`),
		record(`{"name":"i","service":"lookup","address":"","slots":4}`),
		record(`{"name":"i","service":"lookup","address":"127.0.0.1:0","slots":4}`),
		record(`{"name":"i","service":"lookup","address":"127.0.0.1:1","slots":9223372036854775807}`),
		record(`{"name":"i","service":"lookup","address":"127.0.0.1:1","slots":-4}`),
		record(`{"name":"i","service":"lookup","address":"127.0.0.1:1","slots":92233720368547758079}`),
		record(`{"name":"","service":"lookup","address":"127.0.0.1:1","slots":4}`),
		record(`null`), record(`[]`),
	}
}

// TestOddRecordsAreSkipped guards against daemons that end, or no longer follow the hosts, because of entries of another
// writer among the hosts' records.
func TestOddRecordsAreSkipped(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	for number, value := range oddRecords() {
		f.store.Write(fmt.Sprintf("%sdc0/odd-%d", hostsPrefix, number), []byte(value))
	}
	restarted := f.hosts[0]
	restarted.end()
	restarted.start()
	restarted.waitReady()
	restarted.checkIn("ready")
	f.hosts[1].startIncarnation("second")
	f.expectAllReachable()
	f.expectNoRequestFails()
	f.expectNoOddHost()
}

// TestOddRecordsFromAnotherDaemonAreSkipped guards against an odd record that another daemon passes on, and against the loss
// of the good records beside it.
func TestOddRecordsFromAnotherDaemonAreSkipped(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	client, cleanUp := control.NewClient(control.ClientConfig{Logger: slog.New(slog.DiscardHandler)})
	defer cleanUp()
	good := member.Host{Name: "good", DataCentre: "dc0", Peers: "127.0.0.1:1", Control: "127.0.0.1:1", Start: "s", Incarnation: 1, Version: 1}
	goodText, err := json.Marshal(good)
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range oddRecords() {
		if value == "" || value == "{" || len(value) > 100_000 {
			continue // no list can hold it, or no call
		}
		updates := json.RawMessage(fmt.Sprintf(`{"host":"host-0","hosts":[%s,%s]}`, value, goodText))
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		if err := client.Call(ctx, f.hosts[2].ip()+":1003", control.MethodHostUpdates, updates, nil); err != nil {
			t.Errorf("a list with %s was refused: %v", value, err)
		}
		cancel()
	}
	f.waitUntil("the good record to be known", func() bool { return f.hosts[2].log.contains(`"host":"good"`) })
	f.expectNoOddHost()
	f.expectNoRequestFails()
}

// expectNoOddHost fails the test if a daemon has taken an odd record.
func (f *fleet) expectNoOddHost() {
	f.t.Helper()
	for _, h := range f.hosts {
		if h.log.contains(`"host":"odd"`) {
			f.t.Errorf("%s took an odd record", h.daemonName())
		}
	}
}

// expectNoRequestFails fails the test if a daemon no longer serves.
func (f *fleet) expectNoRequestFails() {
	f.t.Helper()
	for _, h := range f.hosts {
		for range 20 {
			if status, body := h.get("/twice/x"); status != http.StatusOK {
				f.t.Errorf("%s answered with %d %s", h.daemonName(), status, body)
			}
		}
	}
}
