// Package guard bounds what the peers of one listener may take of a daemon: connections, and memory for what they send and what
// they have not read.
//
// A Guard tracks the connections of one listener, what each of them waits for, and the memory charged to it. A connection that
// waits for its peer can be evicted: when a bound is reached, the one that has waited longest is closed, and what still finds no
// room is refused. A connection whose request is being served is never evicted.
//
// Charges are estimates on the high side: a head of short fields takes many times its size once it is decoded (HeadCost).
//
// # Usage
//
//	g := guard.New(guard.Config{Connections: 1000, Memory: 64 << 20})
//	c, ok := g.Open(now, evict) // false: refuse the connection
//	defer c.Close()
//	c.Enter(now, guard.PhaseSending) // waits for the rest of a head
//	ok = c.Take(now, guard.HeadCost(size, fields)) // false: refuse the request
//	c.Hold(now, size) // charges memory that is in use already
//	c.Give(size)      // ends a charge
//
// A Guard has no clock, socket or goroutine. It calls the evict functions of its connections.
package guard

import (
	"net/http"
	"sync"
	"time"
)

// Phase says what a connection waits for.
type Phase string

// The phases of a connection.
const (
	// PhaseIdle means that the peer has sent nothing since the last answer, or ever.
	PhaseIdle Phase = "idle"
	// PhaseSending means that the peer has sent a part of a head, or owes the rest of a body that the handler did not read.
	PhaseSending Phase = "sending"
	// PhaseServing means that a request is served.
	PhaseServing Phase = "serving"
	// PhaseUnread means that an answer waits until the peer reads.
	PhaseUnread Phase = "unread"
)

// How long a connection waits before it may be evicted. An idle one may be evicted immediately.
const (
	sendingGrace = time.Second
	unreadGrace  = 3 * time.Second
)

// Charges beside the data itself, in bytes.
const (
	// ConnCost is the charge for an open connection: its buffers and its goroutine.
	ConnCost = 16 << 10
	// RequestCost is the charge for a request that is served, without its head and its body.
	RequestCost = 32 << 10
	// AnswerCost is the charge for an answer that the peer has not read.
	AnswerCost = 96 << 10
	// fieldCost is the charge for a field of a decoded head beside its text, in all its copies.
	fieldCost = 320
	// textCopies is how many copies of a head's text there may be.
	textCopies = 3
)

// maxShareDivisor divides the memory to get what one connection may have. A head of the greatest size fits in it.
const maxShareDivisor = 4

// HeadCost returns the charge for a head of that size with that many fields.
func HeadCost(size, fields int) int64 { return int64(textCopies*size + fieldCost*fields) }

// HeadersCost returns the charge for the head of a decoded request.
func HeadersCost(r *http.Request) int64 {
	const separators = len(": \r\n")
	size, fields := len(r.RequestURI), 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
			fields++
		}
	}
	return HeadCost(size, fields)
}

// Config configures a Guard.
type Config struct {
	// Connections bounds the number of open connections.
	Connections int
	// Memory bounds the charges of all of them, in bytes.
	Memory int64
}

// Guard bounds the connections of one listener. It is safe for concurrent use.
type Guard struct {
	config Config

	mu      sync.Mutex
	conns   map[*Conn]struct{} // open, without those that were evicted
	leaving int                // evicted and not closed yet
	held    int64              // sum of the charges of conns
}

// New returns a Guard without connections.
func New(config Config) *Guard {
	return &Guard{config: config, conns: make(map[*Conn]struct{})}
}

// Conn is what a Guard knows of one connection. A nil Conn has no bounds.
type Conn struct {
	guard *Guard
	evict func(Phase)

	// The following are guarded by the guard's mutex.
	phase  Phase
	since  time.Time // when the phase began
	held   int64
	gone   bool // evicted
	closed bool
}

// Open adds a connection. If there are too many, the one that has waited longest is evicted; without any, Open returns false, and the
// connection must be closed. The function evict is called at most once, and must not block or call the Guard.
func (g *Guard) Open(now time.Time, evict func(Phase)) (*Conn, bool) {
	c := &Conn{guard: g, evict: evict, phase: PhaseIdle, since: now}
	g.mu.Lock()
	victims, ok := g.makePlace(now)
	if ok {
		ok = g.makeRoom(now, c, ConnCost, &victims)
	}
	if ok {
		g.conns[c] = struct{}{}
		c.held = ConnCost
		g.held += ConnCost
	}
	g.mu.Unlock()
	victims.evict()
	return c, ok
}

// evictions are connections to evict once the mutex is released, with their phases.
type evictions []eviction

type eviction struct {
	conn  *Conn
	phase Phase
}

func (e evictions) evict() {
	for _, one := range e {
		one.conn.evict(one.phase)
	}
}

// makePlace reports whether there is a place for another connection, after it has evicted one if it must. Evicted connections are
// closed soon, so that the bound may be exceeded by a few of them for that time.
func (g *Guard) makePlace(now time.Time) (evictions, bool) {
	const leavingDivisor = 4
	if g.leaving > g.config.Connections/leavingDivisor {
		return nil, false
	}
	if len(g.conns) < g.config.Connections {
		return nil, true
	}
	victim := g.longestWaiting(now, nil)
	if victim == nil {
		return nil, false
	}
	return evictions{g.remove(victim)}, true
}

// makeRoom reports whether c may be charged that much more, after it has added connections to evict if it must.
func (g *Guard) makeRoom(now time.Time, c *Conn, size int64, victims *evictions) bool {
	if c.held+size > max(g.config.Memory/maxShareDivisor, ConnCost) {
		return false
	}
	for g.held+size > g.config.Memory {
		victim := g.longestWaiting(now, c)
		if victim == nil {
			return false
		}
		*victims = append(*victims, g.remove(victim))
	}
	return true
}

// longestWaiting returns the connection, other than c, that has waited longest for its peer, or nil.
func (g *Guard) longestWaiting(now time.Time, c *Conn) *Conn {
	var longest *Conn
	for other := range g.conns {
		if other != c && other.mayBeEvicted(now) && (longest == nil || other.since.Before(longest.since)) {
			longest = other
		}
	}
	return longest
}

func (c *Conn) mayBeEvicted(now time.Time) bool {
	switch c.phase {
	case PhaseIdle:
		return true
	case PhaseSending:
		return now.Sub(c.since) >= sendingGrace
	case PhaseUnread:
		return now.Sub(c.since) >= unreadGrace
	case PhaseServing:
	}
	return false
}

// remove removes an open connection, whose evict function must be called. Its charges end, since its memory is about to be released.
func (g *Guard) remove(c *Conn) eviction {
	delete(g.conns, c)
	g.leaving++
	g.held -= c.held
	c.gone = true
	return eviction{conn: c, phase: c.phase}
}

// Close removes the connection and ends its charges.
func (c *Conn) Close() {
	if c == nil {
		return
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case c.closed:
	case c.gone:
		g.leaving--
	default:
		delete(g.conns, c)
		g.held -= c.held
	}
	c.closed = true
}

// Enter records what the connection waits for from now on.
func (c *Conn) Enter(now time.Time, phase Phase) {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.phase != phase {
		c.phase, c.since = phase, now
	}
}

// BeginAnswer charges a part of an answer, which waits until the peer reads.
func (c *Conn) BeginAnswer(now time.Time) {
	c.Hold(now, AnswerCost)
	c.Enter(now, PhaseUnread)
}

// EndAnswer records that the part was read, and what the connection waits for now.
func (c *Conn) EndAnswer(now time.Time, phase Phase) {
	c.Give(AnswerCost)
	c.Enter(now, phase)
}

// Take charges the connection if there is room, and reports whether there is. Others may be evicted for it.
func (c *Conn) Take(now time.Time, size int64) bool {
	if c == nil || size == 0 {
		return true
	}
	var victims evictions
	c.guard.mu.Lock()
	ok := !c.gone && !c.closed && c.guard.makeRoom(now, c, size, &victims)
	if ok {
		c.add(size)
	}
	c.guard.mu.Unlock()
	victims.evict()
	return ok
}

// Hold charges the connection whether there is room or not. Others may be evicted for it.
func (c *Conn) Hold(now time.Time, size int64) {
	if c == nil {
		return
	}
	var victims evictions
	c.guard.mu.Lock()
	_ = c.guard.makeRoom(now, c, size, &victims)
	c.add(size)
	c.guard.mu.Unlock()
	victims.evict()
}

// Give ends a charge of Take or Hold.
func (c *Conn) Give(size int64) {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.add(-size)
}

// add changes the charges of the connection. The mutex must be locked.
func (c *Conn) add(size int64) {
	c.held += size
	if !c.gone && !c.closed {
		c.guard.held += size
	}
}
