package serve

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
)

// unusedConns are the connections of a server on which no request has come yet. Callers and
// other daemons open some in advance. http.Server.Shutdown waits five seconds for the first
// request on each, which is most of the time that a planned stop has.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// track follows a connection's state; it is for http.Server.ConnState.
func (u *unusedConns) track(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state != http.StateNew {
		delete(u.conns, c)
		return
	}
	if u.conns == nil {
		u.conns = make(map[net.Conn]bool)
	}
	u.conns[c] = true
}

// close closes those that there are now. Whoever sends a first request meanwhile is told that it was not run.
func (u *unusedConns) close() {
	for _, c := range u.removeAll() {
		_ = c.Close() // fails only where the other side has gone
	}
}

// removeAll returns those that there are now and forgets them.
func (u *unusedConns) removeAll() []net.Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	removed := slices.Collect(maps.Keys(u.conns))
	clear(u.conns)
	return removed
}
