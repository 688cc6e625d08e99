package floor_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/floor"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// message is a request, a reply or a release in transit.
type message struct {
	to, from string
	request  *floor.Request
	reply    *reply
	release  *floor.Release
}

type reply struct {
	number  uint64
	asked   time.Time
	refusal floor.Refusal
}

// model simulates a service whose messages are lost, delayed, duplicated and reordered, and whose
// sidecars restart and freeze.
type model struct {
	floorSize int
	ledgers   map[string]*floor.Ledger
	names     []string
	frozen    map[string]bool
	slow      map[string]bool
	asked     map[uint64]time.Time
	inTransit []message
	now       time.Time
	numbers   uint64
}

func newModel(t *rapid.T) *model {
	count := rapid.IntRange(2, 4).Draw(t, "backend servers")
	m := &model{
		floorSize: rapid.IntRange(1, count-1).Draw(t, "floor"),
		ledgers:   make(map[string]*floor.Ledger),
		frozen:    make(map[string]bool),
		slow:      make(map[string]bool),
		asked:     make(map[uint64]time.Time),
		now:       epoch,
	}
	for i := range count {
		name := fmt.Sprintf("s%d", i)
		m.names = append(m.names, name)
		m.start(name)
	}
	m.now = m.now.Add(floor.LeaseDuration)
	return m
}

func (m *model) start(name string) {
	m.numbers += 1_000_000
	m.ledgers[name] = floor.NewLedger(floor.Config{Name: name, Start: m.now, FirstNumber: m.numbers})
}

func (m *model) drawName(t *rapid.T) string { return rapid.SampledFrom(m.names).Draw(t, "who") }

// drawActive draws a backend server and reports whether it is not frozen.
func (m *model) drawActive(t *rapid.T) (string, *floor.Ledger, bool) {
	name := m.drawName(t)
	return name, m.ledgers[name], !m.frozen[name]
}

func (m *model) startEjection(t *rapid.T) {
	name, l, ok := m.drawActive(t)
	if !ok || !l.BeginRequesting(m.now, float64(rapid.IntRange(0, 2).Draw(t, "severity"))) {
		return
	}
	m.requestFromAll(name, l)
}

func (m *model) renew(t *rapid.T) {
	if name, l, ok := m.drawActive(t); ok && l.MayStayEjected(m.now, m.floorSize) {
		m.requestFromAll(name, l)
	}
}

func (m *model) requestFromAll(name string, l *floor.Ledger) {
	for _, other := range m.names {
		if other == name {
			continue
		}
		r := l.NewRequest(other)
		r.Slow = m.slow[name]
		m.asked[r.Number] = m.now
		m.inTransit = append(m.inTransit, message{to: other, from: name, request: &r})
	}
}

func (m *model) eject(t *rapid.T) {
	if _, l, ok := m.drawActive(t); ok {
		l.Eject(m.now, m.floorSize)
	}
}

func (m *model) trim(t *rapid.T) {
	if name, l, ok := m.drawActive(t); ok {
		m.send(name, l.ReleaseSurplus(m.now, m.floorSize, func(other string) bool { return other > "s1" }))
	}
}

func (m *model) releaseAll(t *rapid.T) {
	if name, l, ok := m.drawActive(t); ok {
		m.send(name, l.ReleaseAll())
	}
}

func (m *model) send(from string, releases map[string]floor.Release) {
	for _, to := range m.names {
		if r, ok := releases[to]; ok {
			m.inTransit = append(m.inTransit, message{to: to, from: from, release: &r})
		}
	}
}

// deliver delivers some of the messages in transit in any order and duplicates some of them.
func (m *model) deliver(t *rapid.T) {
	for range rapid.IntRange(0, 2*len(m.inTransit)).Draw(t, "messages") {
		m.deliverOne(t)
	}
}

func (m *model) deliverOne(t *rapid.T) {
	if len(m.inTransit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "message")
	msg := m.inTransit[i]
	if m.frozen[msg.to] {
		return // remains in the socket buffer
	}
	const duplicateOneIn = 8
	if rapid.IntRange(1, duplicateOneIn).Draw(t, "doubled") > 1 {
		m.inTransit = append(m.inTransit[:i:i], m.inTransit[i+1:]...)
	}
	m.receive(msg)
}

// attempt runs an ejection without faults: requests, deliveries, ejection.
func (m *model) attempt(t *rapid.T) {
	m.startEjection(t)
	m.deliver(t)
	for _, name := range m.names {
		if !m.frozen[name] {
			m.ledgers[name].Eject(m.now, m.floorSize)
		}
	}
}

func (m *model) receive(msg message) {
	l := m.ledgers[msg.to]
	switch {
	case msg.request != nil:
		response := &reply{number: msg.request.Number, asked: m.asked[msg.request.Number], refusal: l.Answer(m.now, *msg.request)}
		m.inTransit = append(m.inTransit, message{to: msg.from, from: msg.to, reply: response})
	case msg.reply != nil && msg.reply.refusal == floor.Granted:
		l.RecordGrant(msg.reply.number, msg.from, msg.reply.asked)
	case msg.reply != nil:
		l.RecordRefusal(m.now, msg.reply.number, msg.from, msg.reply.refusal)
	case msg.release != nil:
		l.RecordRelease(*msg.release)
	}
}

func (m *model) drop(t *rapid.T) {
	if len(m.inTransit) > 0 {
		i := rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "lost")
		m.inTransit = append(m.inTransit[:i:i], m.inTransit[i+1:]...)
	}
}

func (m *model) advance(t *rapid.T) {
	steps := []int{1, 100, 700, 1890, 1950}
	m.now = m.now.Add(time.Duration(rapid.SampledFrom(steps).Draw(t, "ms")) * time.Millisecond)
}

func (m *model) freeze(t *rapid.T) { m.frozen[m.drawName(t)] = true }
func (m *model) thaw(t *rapid.T)   { m.frozen[m.drawName(t)] = false }

func (m *model) changeSlow(t *rapid.T) { m.slow[m.drawName(t)] = rapid.Bool().Draw(t, "slow") }

func (m *model) changeBusy(t *rapid.T) {
	m.ledgers[m.drawName(t)].SetBusy(rapid.Bool().Draw(t, "busy"))
}

// restart discards the state of one sidecar.
func (m *model) restart(t *rapid.T) {
	name := m.drawName(t)
	m.frozen[name] = false
	m.start(name)
}

// check counts the backend servers in service. A frozen one cannot update its own state, so it is
// checked as its next request would do.
func (m *model) check(t *rapid.T) {
	serving := 0
	for _, name := range m.names {
		if !m.ledgers[name].MayStayEjected(m.now, m.floorSize) {
			serving++
		}
	}
	if serving < m.floorSize {
		t.Fatalf("%d in service, floor %d", serving, m.floorSize)
	}
}

// TestFloorHolds guards against fewer backend servers in service than the floor when messages are
// lost, delayed, duplicated or reordered and sidecars restart or freeze.
func TestFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"attempt": m.attempt,
			"again":   m.attempt,
			"want":    m.startEjection,
			"renew":   m.renew,
			"enter":   m.eject,
			"trim":    m.trim,
			"leave":   m.releaseAll,
			"deliver": m.deliver,
			"lose":    m.drop,
			"pass":    m.advance,
			"freeze":  m.freeze,
			"thaw":    m.thaw,
			"restart": m.restart,
			"slow":    m.changeSlow,
			"busy":    m.changeBusy,
			"":        m.check,
		})
	})
}

// requestAll requests leases from all other backend servers and delivers all replies.
func requestAll(now time.Time, requester string, ledgers map[string]*floor.Ledger) {
	l := ledgers[requester]
	for other, peer := range ledgers {
		if other == requester {
			continue
		}
		r := l.NewRequest(other)
		if refusal := peer.Answer(now, r); refusal == floor.Granted {
			l.RecordGrant(r.Number, other, now)
		} else {
			l.RecordRefusal(now, r.Number, other, refusal)
		}
	}
}

// TestFloorPermitsEjections guards against fewer or more consecutive ejections than the floor permits when no
// messages are lost.
func TestFloorPermitsEjections(t *testing.T) {
	const count, floorSize = 6, 4
	ledgers := make(map[string]*floor.Ledger)
	for i := range count {
		name := fmt.Sprintf("s%d", i)
		ledgers[name] = floor.NewLedger(floor.Config{Name: name, Start: epoch})
	}
	now := epoch.Add(floor.LeaseDuration)
	ejected := 0
	for _, name := range []string{"s0", "s1", "s2"} {
		l := ledgers[name]
		if !l.BeginRequesting(now, 1) {
			continue
		}
		requestAll(now, name, ledgers)
		for to, r := range l.ReleaseSurplus(now, floorSize, func(other string) bool { return other > "s2" }) {
			ledgers[to].RecordRelease(r)
		}
		if l.Eject(now, floorSize) {
			ejected++
		} else {
			l.ReleaseAll()
		}
	}
	if ejected != count-floorSize {
		t.Fatalf("%d ejected, want %d", ejected, count-floorSize)
	}
}

// TestUndeclaredDoNotCount guards against counting the lease of a backend server that is no longer
// declared.
func TestUndeclaredDoNotCount(t *testing.T) {
	ledgers := make(map[string]*floor.Ledger)
	for _, name := range []string{"a", "b", "c"} {
		ledgers[name] = floor.NewLedger(floor.Config{Name: name, Start: epoch})
	}
	now := epoch.Add(floor.LeaseDuration)
	a := ledgers["a"]
	a.BeginRequesting(now, 1)
	requestAll(now, "a", ledgers)
	if !a.Eject(now, 2) {
		t.Fatal("a is not ejected")
	}
	a.Restrict([]string{"b"})
	if a.MayStayEjected(now, 2) {
		t.Fatal("a is ejected with the lease of an undeclared backend server")
	}
}

// TestLeaseExpires guards against an ejection that outlives its leases if no messages arrive.
func TestLeaseExpires(t *testing.T) {
	ledgers := map[string]*floor.Ledger{
		"a": floor.NewLedger(floor.Config{Name: "a", Start: epoch}),
		"b": floor.NewLedger(floor.Config{Name: "b", Start: epoch}),
	}
	now := epoch.Add(floor.LeaseDuration)
	a := ledgers["a"]
	a.BeginRequesting(now, 1)
	requestAll(now, "a", ledgers)
	if !a.Eject(now, 1) || !a.MayStayEjected(now, 1) {
		t.Fatal("a is not ejected")
	}
	if ledgers["b"].BeginRequesting(now, 2) {
		t.Fatal("b may request leases although it granted one")
	}
	later := now.Add(floor.LeaseDuration)
	if a.MayStayEjected(later, 1) {
		t.Fatal("a is ejected with an expired lease")
	}
	if !ledgers["b"].BeginRequesting(later, 2) {
		t.Fatal("b is bound by an expired lease")
	}
}

// TestSlowBackendServerServesWhileOthersAreBusy guards against an ejection for slowness while too few others have room.
func TestSlowBackendServerServesWhileOthersAreBusy(t *testing.T) {
	const floorSize = 2
	for _, c := range []struct {
		name string
		slow bool
		busy []string
		want bool // whether it stays ejected
	}{
		{"all have room", true, nil, true},
		{"one is busy, and another takes its place", true, []string{"b"}, true},
		{"too few have room", true, []string{"b", "c"}, false},
		{"it fails requests", false, []string{"b", "c", "d"}, true},
	} {
		ledgers := make(map[string]*floor.Ledger)
		for _, name := range []string{"a", "b", "c", "d"} {
			ledgers[name] = floor.NewLedger(floor.Config{Name: name, Start: epoch})
		}
		now := epoch.Add(floor.LeaseDuration)
		a := ledgers["a"]
		request := func(names ...string) {
			for _, name := range names {
				r := a.NewRequest(name)
				r.Slow = c.slow
				if refusal := ledgers[name].Answer(now, r); refusal == floor.Granted {
					a.RecordGrant(r.Number, name, now)
				} else {
					a.RecordRefusal(now, r.Number, name, refusal)
				}
			}
			for to, r := range a.ReleaseSurplus(now, floorSize, func(string) bool { return true }) {
				ledgers[to].RecordRelease(r)
			}
		}
		a.BeginRequesting(now, 1)
		request("b", "c", "d")
		if !a.Eject(now, floorSize) {
			t.Fatalf("%s: not ejected", c.name)
		}
		for _, name := range c.busy {
			ledgers[name].SetBusy(true)
		}
		now = now.Add(floor.RenewInterval)
		request("b", "c")
		request("b", "c", "d")
		now = now.Add(floor.ReplaceTime)
		if got := a.MayStayEjected(now, floorSize); got != c.want {
			t.Errorf("%s: ejected %t, want %t", c.name, got, c.want)
		}
	}
}
