package member_test

import (
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/internal/member"
)

// validRecord returns a record that a daemon can have written.
func validRecord() member.Host {
	return member.Host{
		Name: "a", DataCentre: "csepel", Peers: "10.1.0.1:8146", Control: "10.1.0.1:7380", Start: "s", Incarnation: 1, Version: 1,
		Servers: []member.Server{{Name: "i-1", Service: "lookup", Address: "10.1.0.1:8145", Slots: 4}}, Left: []string{"i-0"},
	}
}

// TestCheckRefusesWhatNoDaemonWrites guards against records of another writer that no daemon could replace, or by which a
// daemon would end or send requests nowhere.
func TestCheckRefusesWhatNoDaemonWrites(t *testing.T) {
	if err := validRecord().Check(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*member.Host){
		"no name":             func(h *member.Host) { h.Name = "" },
		"a long name":         func(h *member.Host) { h.Name = strings.Repeat("x", 500_000) },
		"no data centre":      func(h *member.Host) { h.DataCentre = "" },
		"no start":            func(h *member.Host) { h.Start = "" },
		"no address":          func(h *member.Host) { h.Peers = "" },
		"a host name":         func(h *member.Host) { h.Control = "a.example:80" },
		"port 0":              func(h *member.Host) { h.Control = "10.1.0.1:0" },
		"port 70000":          func(h *member.Host) { h.Peers = "10.1.0.1:70000" },
		"greatest life":       func(h *member.Host) { h.Incarnation = math.MaxInt64 },
		"negative life":       func(h *member.Host) { h.Incarnation = -1 },
		"greatest version":    func(h *member.Host) { h.Version = math.MaxInt64 },
		"version 0":           func(h *member.Host) { h.Version = 0 },
		"a server's port":     func(h *member.Host) { h.Servers[0].Address = "10.1.0.1:70000" },
		"a server's name":     func(h *member.Host) { h.Servers[0].Name = "" },
		"a server's service":  func(h *member.Host) { h.Servers[0].Service = "" },
		"no slots":            func(h *member.Host) { h.Servers[0].Slots = 0 },
		"negative slots":      func(h *member.Host) { h.Servers[0].Slots = -4 },
		"the greatest slots":  func(h *member.Host) { h.Servers[0].Slots = math.MaxInt },
		"many servers":        func(h *member.Host) { h.Servers = make([]member.Server, 100_000) },
		"an empty name left":  func(h *member.Host) { h.Left = []string{""} },
		"many that have left": func(h *member.Host) { h.Left = make([]string, 100_000) },
	} {
		h := validRecord()
		if change(&h); h.Check() == nil {
			t.Errorf("%s: the record is taken", name)
		}
	}
}

// TestAnyTakenRecordIsReplaced guards against a record of the daemon's own host, left by another writer, that the daemon
// does not replace elsewhere.
func TestAnyTakenRecordIsReplaced(t *testing.T) {
	for name, change := range map[string]func(*member.Host){
		"another start, a higher life":     func(h *member.Host) { h.Start, h.Incarnation = "other", 1000 },
		"another start, the same life":     func(h *member.Host) { h.Start, h.Version = "other", 1000 },
		"the same start, a higher version": func(h *member.Host) { h.Version = 1000 },
		"the same start, a higher life":    func(h *member.Host) { h.Incarnation = 1000 },
		"gone, a higher life":              func(h *member.Host) { h.Incarnation, h.Gone = 1000, true },
	} {
		own, peer := newTable("a", "own"), newTable("b", "b")
		forged := own.Self()
		change(&forged)
		peer.Merge([]member.Host{forged})
		syncTables(peer, own)
		syncTables(own, peer)
		if got, _ := peer.Host("a"); !reflect.DeepEqual(got, own.Self()) {
			t.Errorf("%s: the other daemon keeps %+v", name, got)
		}
	}
}
