package floor_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/floor"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// message is a request, an answer or a release on its way.
type message struct {
	to, from string
	request  *floor.Request
	answer   *answer
	release  *floor.Release
}

type answer struct {
	number  uint64
	asked   time.Time
	refusal floor.Refusal
}

// model is a service whose messages are lost, late, doubled and reordered, and
// whose sidecars restart and stand still.
type model struct {
	floorSize int
	ledgers   map[string]*floor.Ledger
	names     []string
	frozen    map[string]bool
	asked     map[uint64]time.Time
	wire      []message
	now       time.Time
	numbers   uint64
}

func newModel(t *rapid.T) *model {
	count := rapid.IntRange(2, 4).Draw(t, "backend servers")
	m := &model{
		floorSize: rapid.IntRange(1, count-1).Draw(t, "floor"),
		ledgers:   make(map[string]*floor.Ledger),
		frozen:    make(map[string]bool),
		asked:     make(map[uint64]time.Time),
		now:       epoch,
	}
	for i := range count {
		name := fmt.Sprintf("s%d", i)
		m.names = append(m.names, name)
		m.start(name)
	}
	m.now = m.now.Add(floor.Lease)
	return m
}

func (m *model) start(name string) {
	m.numbers += 1_000_000
	m.ledgers[name] = floor.NewLedger(floor.Config{Name: name, Start: m.now, FirstNumber: m.numbers})
}

func (m *model) one(t *rapid.T) string { return rapid.SampledFrom(m.names).Draw(t, "who") }

// awake returns one that is not standing still, if the one drawn is.
func (m *model) awake(t *rapid.T) (string, *floor.Ledger, bool) {
	name := m.one(t)
	return name, m.ledgers[name], !m.frozen[name]
}

func (m *model) wantEjected(t *rapid.T) {
	name, l, ok := m.awake(t)
	if !ok || !l.BeginRequesting(m.now, float64(rapid.IntRange(0, 2).Draw(t, "severity"))) {
		return
	}
	m.askAll(name, l)
}

func (m *model) renew(t *rapid.T) {
	if name, l, ok := m.awake(t); ok && l.MayStayEjected(m.now, m.floorSize) {
		m.askAll(name, l)
	}
}

func (m *model) askAll(name string, l *floor.Ledger) {
	for _, other := range m.names {
		if other == name {
			continue
		}
		r := l.NewRequest(other)
		m.asked[r.Number] = m.now
		m.wire = append(m.wire, message{to: other, from: name, request: &r})
	}
}

func (m *model) enter(t *rapid.T) {
	if _, l, ok := m.awake(t); ok {
		l.Eject(m.now, m.floorSize)
	}
}

func (m *model) trim(t *rapid.T) {
	if name, l, ok := m.awake(t); ok {
		m.send(name, l.ReleaseSurplus(m.now, m.floorSize, func(other string) bool { return other > "s1" }))
	}
}

func (m *model) leave(t *rapid.T) {
	if name, l, ok := m.awake(t); ok {
		m.send(name, l.ReleaseAll())
	}
}

func (m *model) send(from string, releases map[string]floor.Release) {
	for _, to := range m.names {
		if r, ok := releases[to]; ok {
			m.wire = append(m.wire, message{to: to, from: from, release: &r})
		}
	}
}

// deliver hands over some of the messages on their way, in any order, and
// leaves a copy of some.
func (m *model) deliver(t *rapid.T) {
	for range rapid.IntRange(0, 2*len(m.wire)).Draw(t, "messages") {
		m.deliverOne(t)
	}
}

func (m *model) deliverOne(t *rapid.T) {
	if len(m.wire) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.wire)-1).Draw(t, "message")
	msg := m.wire[i]
	if m.frozen[msg.to] {
		return // it waits in the socket's buffer
	}
	const doubledOneIn = 8
	if rapid.IntRange(1, doubledOneIn).Draw(t, "doubled") > 1 {
		m.wire = append(m.wire[:i:i], m.wire[i+1:]...)
	}
	m.receive(msg)
}

// attempt asks, hands over messages, and enters: what a sidecar does when all
// goes well.
func (m *model) attempt(t *rapid.T) {
	m.wantEjected(t)
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
		reply := &answer{number: msg.request.Number, asked: m.asked[msg.request.Number], refusal: l.Answer(m.now, *msg.request)}
		m.wire = append(m.wire, message{to: msg.from, from: msg.to, answer: reply})
	case msg.answer != nil && msg.answer.refusal == floor.Granted:
		l.RecordGrant(msg.answer.number, msg.from, msg.answer.asked)
	case msg.answer != nil:
		l.RecordRefusal(msg.answer.number, msg.from)
	case msg.release != nil:
		l.RecordRelease(*msg.release)
	}
}

func (m *model) lose(t *rapid.T) {
	if len(m.wire) > 0 {
		i := rapid.IntRange(0, len(m.wire)-1).Draw(t, "lost")
		m.wire = append(m.wire[:i:i], m.wire[i+1:]...)
	}
}

func (m *model) pass(t *rapid.T) {
	steps := []int{1, 100, 700, 1890, 1950}
	m.now = m.now.Add(time.Duration(rapid.SampledFrom(steps).Draw(t, "ms")) * time.Millisecond)
}

func (m *model) freeze(t *rapid.T) { m.frozen[m.one(t)] = true }
func (m *model) thaw(t *rapid.T)   { m.frozen[m.one(t)] = false }

// restart loses everything that one sidecar knew.
func (m *model) restart(t *rapid.T) {
	name := m.one(t)
	m.frozen[name] = false
	m.start(name)
}

// check counts who is in service. One that stands still refuses nothing, so it
// is asked as it would be by the next request.
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

// TestFloorHolds drives a service through lost, late, doubled and reordered
// messages, restarts and standstills: those not ejected are never fewer than the
// floor.
func TestFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"attempt": m.attempt,
			"again":   m.attempt,
			"want":    m.wantEjected,
			"renew":   m.renew,
			"enter":   m.enter,
			"trim":    m.trim,
			"leave":   m.leave,
			"deliver": m.deliver,
			"lose":    m.lose,
			"pass":    m.pass,
			"freeze":  m.freeze,
			"thaw":    m.thaw,
			"restart": m.restart,
			"":        m.check,
		})
	})
}

// settle asks everyone at once and hands over every answer.
func settle(now time.Time, name string, ledgers map[string]*floor.Ledger) {
	l := ledgers[name]
	for other, peer := range ledgers {
		if other == name {
			continue
		}
		r := l.NewRequest(other)
		if peer.Answer(now, r) == floor.Granted {
			l.RecordGrant(r.Number, other, now)
		} else {
			l.RecordRefusal(r.Number, other)
		}
	}
}

// TestBudgetIsUsed shows that with good messages as many as the floor leaves
// are ejected, one after another, and no more.
func TestBudgetIsUsed(t *testing.T) {
	const count, floorSize = 6, 4
	ledgers := make(map[string]*floor.Ledger)
	for i := range count {
		name := fmt.Sprintf("s%d", i)
		ledgers[name] = floor.NewLedger(floor.Config{Name: name, Start: epoch})
	}
	now := epoch.Add(floor.Lease)
	ejected := 0
	for _, name := range []string{"s0", "s1", "s2"} {
		l := ledgers[name]
		if !l.BeginRequesting(now, 1) {
			continue
		}
		settle(now, name, ledgers)
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
		t.Fatalf("%d are ejected, want %d", ejected, count-floorSize)
	}
}

// TestUndeclaredKeepNoFloor drops the lease of one that is not declared any
// more.
func TestUndeclaredKeepNoFloor(t *testing.T) {
	ledgers := make(map[string]*floor.Ledger)
	for _, name := range []string{"a", "b", "c"} {
		ledgers[name] = floor.NewLedger(floor.Config{Name: name, Start: epoch})
	}
	now := epoch.Add(floor.Lease)
	a := ledgers["a"]
	a.BeginRequesting(now, 1)
	settle(now, "a", ledgers)
	if !a.Eject(now, 2) {
		t.Fatal("a is not ejected")
	}
	a.Restrict([]string{"b"})
	if a.MayStayEjected(now, 2) {
		t.Fatal("a is ejected with the lease of one that is gone")
	}
}

// TestLeaseRunsOut shows that one that hears from nobody comes back by itself.
func TestLeaseRunsOut(t *testing.T) {
	ledgers := map[string]*floor.Ledger{
		"a": floor.NewLedger(floor.Config{Name: "a", Start: epoch}),
		"b": floor.NewLedger(floor.Config{Name: "b", Start: epoch}),
	}
	now := epoch.Add(floor.Lease)
	a := ledgers["a"]
	a.BeginRequesting(now, 1)
	settle(now, "a", ledgers)
	if !a.Eject(now, 1) || !a.MayStayEjected(now, 1) {
		t.Fatal("a is not ejected")
	}
	if ledgers["b"].BeginRequesting(now, 2) {
		t.Fatal("b may ask although it granted a lease")
	}
	later := now.Add(floor.Lease)
	if a.MayStayEjected(later, 1) {
		t.Fatal("a is ejected with a lease that ran out")
	}
	if !ledgers["b"].BeginRequesting(later, 2) {
		t.Fatal("b is bound by a lease that ran out")
	}
}
