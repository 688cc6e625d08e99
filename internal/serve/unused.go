package serve

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
)

// unusedConns holds the connections of the servers on which no request has arrived yet. Callers and other daemons open
// some in advance. http.Server.Shutdown waits five seconds for the first request on each, which is most of the
// time available to a planned stop.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// track updates a connection's state. It is called from http.Server.ConnState.
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

// close closes all current connections. A first request that arrives during the close gets the response that it was
// not run.
func (u *unusedConns) close() {
	for _, c := range u.removeAll() {
		_ = c.Close() // fails only if the peer has disconnected
	}
}

// removeAll removes and returns all current connections.
func (u *unusedConns) removeAll() []net.Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	removed := slices.Collect(maps.Keys(u.conns))
	clear(u.conns)
	return removed
}
