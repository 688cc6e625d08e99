package guard

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// machine drives a Guard with drawn calls and checks what must hold after each.
type machine struct {
	t       *rapid.T
	guard   *Guard
	now     time.Time
	open    []*Conn
	evicted map[*Conn]Phase
}

func newMachine(t *rapid.T) *machine {
	return &machine{
		t:       t,
		guard:   New(Config{Connections: rapid.IntRange(1, 8).Draw(t, "connections"), Memory: rapid.Int64Range(1, 64).Draw(t, "memory") * ConnCost}),
		now:     time.Unix(1_000_000, 0),
		evicted: make(map[*Conn]Phase),
	}
}

func (m *machine) step() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(m.t, "ms")) * time.Millisecond)
	if len(m.open) == 0 || rapid.IntRange(0, 3).Draw(m.t, "opens") == 0 {
		m.openOne()
		return
	}
	c := rapid.SampledFrom(m.open).Draw(m.t, "connection")
	size := rapid.Int64Range(0, 8).Draw(m.t, "size") * ConnCost
	switch rapid.SampledFrom([]string{"enter", "take", "hold", "close"}).Draw(m.t, "call") {
	case "enter":
		c.Enter(m.now, rapid.SampledFrom([]Phase{PhaseIdle, PhaseSending, PhaseServing, PhaseUnread}).Draw(m.t, "phase"))
	case "take":
		m.take(c, size)
	case "hold":
		c.BeginAnswer(m.now)
		c.EndAnswer(m.now, PhaseServing)
	case "close":
		c.Close()
		m.forget(c)
	}
}

func (m *machine) openOne() {
	var own *Conn
	c, ok := m.guard.Open(m.now, func(phase Phase) { m.evicted[own] = phase })
	own = c
	if ok {
		m.open = append(m.open, c)
	}
}

func (m *machine) take(c *Conn, size int64) {
	before := m.guard.held
	could := before+size <= m.guard.config.Memory && c.held+size <= m.guard.config.Memory/maxShareDivisor && !c.gone
	if ok := c.Take(m.now, size); !ok && could && size > 0 {
		m.t.Errorf("took %d with %d of %d held: refused", size, before, m.guard.config.Memory)
	}
}

func (m *machine) forget(c *Conn) {
	delete(m.evicted, c)
	for i, other := range m.open {
		if other == c {
			m.open = append(m.open[:i], m.open[i+1:]...)
			return
		}
	}
}

func (m *machine) check() {
	if len(m.guard.conns) > m.guard.config.Connections {
		m.t.Fatalf("%d connections, at most %d", len(m.guard.conns), m.guard.config.Connections)
	}
	if m.guard.held > m.guard.config.Memory {
		m.t.Fatalf("%d bytes held, at most %d", m.guard.held, m.guard.config.Memory)
	}
	var held int64
	for c := range m.guard.conns {
		held += c.held
	}
	if held != m.guard.held {
		m.t.Fatalf("%d bytes held, the connections hold %d", m.guard.held, held)
	}
	if len(m.evicted) != m.guard.leaving || len(m.evicted)+len(m.guard.conns) != len(m.open) {
		m.t.Fatalf("%d evicted, %d leaving, %d in use, %d open", len(m.evicted), m.guard.leaving, len(m.guard.conns), len(m.open))
	}
	for _, phase := range m.evicted {
		if phase == PhaseServing {
			m.t.Fatal("a connection whose request is served was evicted")
		}
	}
}

// TestBoundsHold guards against more connections or memory than the bounds allow, against an eviction of a request that is served,
// and against room that is never given back.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step()
			m.check()
		}
		for _, c := range m.open {
			c.Close()
			c.Close() // counts once
		}
		if m.guard.held != 0 || m.guard.leaving != 0 || len(m.guard.conns) != 0 {
			t.Errorf("after all are closed: %d held, %d leaving, %d open", m.guard.held, m.guard.leaving, len(m.guard.conns))
		}
	})
}

// TestLongestWaitingIsEvicted guards against the eviction of a connection that was used last, or of one whose peer has only just
// begun to send or to read.
func TestLongestWaitingIsEvicted(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := New(Config{Connections: 4, Memory: 1 << 30})
	var evicted []string
	open := func(name string, phase Phase, at time.Duration) *Conn {
		c, ok := g.Open(now, func(Phase) { evicted = append(evicted, name) })
		if ok {
			c.Enter(now, phase)
			c.since = now.Add(at)
		}
		return c
	}
	open("serving", PhaseServing, -time.Hour)
	open("used long ago", PhaseIdle, -time.Minute)
	open("used just now", PhaseIdle, 0)
	open("sends slowly", PhaseSending, -2*time.Minute)
	for _, want := range []string{"sends slowly", "used long ago", "used just now"} {
		open("sending just now", PhaseSending, 0)
		if len(evicted) == 0 || evicted[len(evicted)-1] != want {
			t.Fatalf("evicted %v, want %s last", evicted, want)
		}
		for c := range g.conns {
			if c.phase == PhaseSending && len(evicted) < 3 {
				c.phase = PhaseServing
			}
		}
		g.leaving = 0 // closed at once
	}
	if _, ok := g.Open(now, func(Phase) {}); ok {
		t.Error("a connection was accepted although none may be evicted")
	}
}

// TestHeadOfTheGreatestSizeFits guards against a single request inside the limits that is refused in calm, with the memory of the
// smallest host that the users name and the default limit on heads.
func TestHeadOfTheGreatestSizeFits(t *testing.T) {
	const (
		headLimit = 32 << 10
		memory    = 284_000_000 / 4
	)
	g := New(Config{Connections: 10, Memory: memory})
	c, ok := g.Open(time.Now(), func(Phase) {})
	if !ok {
		t.Fatal("no connection is accepted")
	}
	r := &http.Request{RequestURI: "/", Header: make(http.Header)}
	for size := 0; size < headLimit; size += len("A: \r\n") {
		r.Header["A"] = append(r.Header["A"], "")
	}
	for name, cost := range map[string]int64{
		"as it is read": HeadCost(headLimit, strings.Count(strings.Repeat("A: \r\n", headLimit/5), "\n")),
		"decoded":       RequestCost + HeadersCost(r),
	} {
		if !c.Take(time.Now(), cost) {
			t.Errorf("%s: %d bytes are refused", name, cost)
		}
		c.Give(cost)
	}
}
