package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// heartbeat is the interval between check-ins.
	heartbeat = 1500 * time.Millisecond
	// ackTimeout is how long an upstream waits for the confirmation of a check-in.
	ackTimeout = time.Second
	// workTime is how long an upstream works on a request.
	workTime = 20 * time.Millisecond
	// capacity is how many requests an upstream runs at once.
	capacity = 4
)

// arrival is a request that reached an upstream and was run.
type arrival struct {
	id       string // Request-Id
	upstream string
	path     string
	at       time.Time
}

// upstream is an application upstream beside a daemon. It runs requests that name it and answers others with 421.
type upstream struct {
	machine *machine
	id      string
	address string
	born    int64 // when it started, in Unix milliseconds
	// loses reports whether the answer to a request that was run is lost: its connection is reset.
	loses func(r *http.Request) bool
	// answer writes the body of an answer.
	answer func(w http.ResponseWriter, r *http.Request)
	server *http.Server

	mu       sync.Mutex
	sequence int
	arrivals []arrival
}

// addUpstream starts the upstream of a machine. It does not check in.
func (m *machine) addUpstream(id string) (*upstream, error) {
	listener, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for upstream")
	}
	u := &upstream{machine: m, id: id, address: listener.Addr().String(), born: time.Now().UnixMilli(), loses: func(*http.Request) bool { return false }}
	u.answer = writeBody
	u.serve(listener)
	m.fleet.onCleanUp(u.crash)
	return u, nil
}

// serve serves requests at the listener until crash is called.
func (u *upstream) serve(listener net.Listener) {
	server := &http.Server{Handler: u, ReadHeaderTimeout: startTimeout}
	u.server = server
	go func() { _ = server.Serve(listener) }()
}

// crash ends the upstream without a word.
func (u *upstream) crash() { _ = u.server.Close() }

// restart starts a crashed upstream at its address, in a new lifetime. It does not check in.
func (u *upstream) restart(id string) error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return errors.Wrap(err, "listen for upstream")
	}
	u.id = id
	u.startAgain()
	u.serve(listener)
	return nil
}

// startAgain begins a new lifetime of the upstream, under its id.
func (u *upstream) startAgain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.born, u.sequence = time.Now().UnixMilli(), 0
}

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	u.recordRun(arrival{id: id, upstream: u.id, path: r.RequestURI, at: time.Now()}, r)
	time.Sleep(workTime)
	if u.loses(r) {
		u.machine.fleet.record.printf("%s: the answer to %s is lost, its connection is reset", u.id, id)
		reset(w)
		return
	}
	w.Header().Set("Response-Signature", "3e1b."+id)
	w.Header().Set("Server-Load", fmt.Sprintf("1,0,%d", capacity))
	u.answer(w, r)
}

// writeBody writes a short body with its length.
func writeBody(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "done\n")
}

func (u *upstream) recordRun(a arrival, r *http.Request) {
	u.machine.fleet.record.printf("%s: runs %s (%s %s)", u.id, a.id, r.Method, a.path)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals = append(u.arrivals, a)
}

// runs returns what the upstream has run.
func (u *upstream) runs() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	socket, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = socket.Close()
}

// nextCheckIn returns the body of the next check-in.
func (u *upstream) nextCheckIn() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	data, _ := json.Marshal(map[string]any{ // always encodes
		"service": u.machine.service, "address": u.address, "zone": u.machine.zone, "version": "v1", "capacity": capacity,
		"state": "ready", "cold-remaining-s": 0, "call-seq": u.sequence, "born": u.born,
	})
	return data
}

// sendCheckIn sends a check-in to the address.
func (u *upstream) sendCheckIn(address string, body []byte) {
	confirmed := u.call(http.MethodPut, address, body)
	u.machine.fleet.record.printf("%s: check-in %s at %s, confirmed %t", u.id, body, address, confirmed)
}

// leave sends the DELETE by which an upstream leaves, and reports whether it was confirmed.
func (u *upstream) leave() bool {
	confirmed := u.call(http.MethodDelete, u.machine.control(), nil)
	u.machine.fleet.record.printf("%s: DELETE, confirmed %t", u.id, confirmed)
	return confirmed
}

func (u *upstream) call(method, address string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/v1/backend-servers/"+u.id, bytes.NewReader(body)) //nolint:gosec // an address of this program's daemons
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r) //nolint:gosec // an address of this program's daemons
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// beat checks in every heartbeat until ctx ends.
func (u *upstream) beat(ctx context.Context) {
	for {
		u.sendCheckIn(u.machine.control(), u.nextCheckIn())
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
			return
		}
	}
}
