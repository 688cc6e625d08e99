package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	stopConfig = `{"version":1,"routes":[` +
		`{"name":"r-order","host":"orders.example","path-prefix":"/order/","route-type":"non_idempotent","timeout-s":8,"target-latency-s":1.5,"priority":1,"service":"orders","attempts":2}],` +
		`"services":[{"name":"orders","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false}],` +
		`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}`
	stopMachines = 3
	// stopClients is how many clients have a kept connection to the machine that is stopped.
	stopClients = 6
	// excused is how long after SIGTERM a request is sent at the latest for the excuse of the last sixth of the grace
	// period.
	excused = 3 * time.Second
	// sendAfter is how long after SIGTERM the requests are sent.
	sendAfter = 3080 * time.Millisecond
	// orderWork is how long an upstream works on an order. The clients wait for longer.
	orderWork     = 2800 * time.Millisecond
	orderDeadline = 7 * time.Second
)

// runStop stops one machine as the platform does. Its clients send requests on kept connections more than three seconds
// after SIGTERM.
func runStop(f *fleet, trouble bool) ([]string, error) {
	f.zones = []string{"njiro-hall", "kaloleni-hall", "sakina-hall"}
	f.writeConfig(stopConfig)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	upstreams, err := f.addMachines("orders", stopMachines)
	if err != nil {
		return nil, err
	}
	w := &works{record: f.record, byID: make(map[string]work)}
	for _, u := range upstreams {
		u.answer = func(rw http.ResponseWriter, r *http.Request) { w.run(u, rw, r) }
	}
	if err := f.checkIn(ctx, upstreams); err != nil {
		return nil, err
	}
	time.Sleep(touch + heartbeat) // all machines are in touch and know each other
	m := f.machines[0]
	var clients []*keptClient
	for n := range stopClients {
		c, err := m.keep(fmt.Sprintf("%s-client-%d", m.name, n+1))
		if err != nil {
			return nil, err
		}
		defer func() { _ = c.socket.Close() }()
		clients = append(clients, c)
	}
	stopped := time.Now()
	if trouble {
		if err := m.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, errors.Wrap(err, "send SIGTERM")
		}
		f.record.printf("%s: SIGTERM", m.name)
	}
	time.Sleep(time.Until(stopped.Add(sendAfter)))
	var sending sync.WaitGroup
	for _, c := range clients {
		sending.Go(func() { c.order("order", true) })
	}
	sending.Wait()
	if trouble {
		select {
		case <-m.ended:
			f.record.printf("%s: ended", m.name)
		case <-time.After(time.Until(stopped.Add(grace))):
			f.record.printf("%s: killed at the end of its grace period", m.name)
		}
	}
	return judgeStop(f, clients, w, stopped)
}

// work is one run of a request.
type work struct {
	upstream string
	began    time.Time
	brokenAt time.Time // zero if the work was finished
}

// works holds the runs of requests.
type works struct {
	record *recorder

	mu   sync.Mutex
	byID map[string]work
}

// run works on a request until it is finished or its connection is closed.
func (w *works) run(u *upstream, rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	one := work{upstream: u.id, began: time.Now()}
	duration := orderWork
	if r.URL.Path == "/order/first" {
		duration = workTime
	}
	select {
	case <-time.After(duration):
		writeBody(rw, r)
		w.record.printf("%s: has finished %s", u.id, id)
	case <-r.Context().Done():
		one.brokenAt = time.Now()
		w.record.printf("%s: its work on %s is broken off", u.id, id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id] = one
}

// of returns the run of a request.
func (w *works) of(id string) (work, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one, ok := w.byID[id]
	return one, ok
}

// keptClient is a client with a kept connection.
type keptClient struct {
	machine *machine
	name    string
	socket  net.Conn
	reader  *bufio.Reader

	id       string // of the last request
	sentAt   time.Time
	answered time.Time
	status   int    // 0 without an answer
	signed   string // Response-Signature
}

// keep opens a connection to the machine and sends a first request on it.
func (m *machine) keep(name string) (*keptClient, error) {
	socket, err := net.Dial("tcp", m.outbound()) //nolint:gosec // an address of this program's daemons
	if err != nil {
		return nil, errors.Wrap(err, "connect to "+m.name)
	}
	c := &keptClient{machine: m, name: name, socket: socket, reader: bufio.NewReader(socket)}
	c.order("first", false)
	if c.status != http.StatusOK {
		return nil, errors.Errorf("the first request of %s is answered with %d", name, c.status)
	}
	return c, nil
}

// order sends a request and waits for its answer.
func (c *keptClient) order(kind string, recorded bool) {
	c.id = c.name + "-" + kind
	c.sentAt = time.Now()
	c.status = 0
	_, _ = fmt.Fprintf(c.socket, "POST /order/%s HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\nok",
		kind, c.id, orderDeadline.Milliseconds())
	if recorded {
		c.machine.fleet.record.printf("%s: sends %s on its kept connection", c.name, c.id)
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(orderDeadline))
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	c.answered = time.Now()
	if err == nil {
		c.status, c.signed = response.StatusCode, response.Header.Get("Response-Signature")
	}
	c.machine.fleet.record.printf("%s: %s is answered with %d, signature %q, error %v", c.name, c.id, c.status, c.signed, err)
}

// judgeStop returns the requests that were sent too late for an excuse, passed on, and given up while their upstream
// was at work.
func judgeStop(f *fleet, clients []*keptClient, w *works, stopped time.Time) ([]string, error) {
	var broken []string
	ran := 0
	for _, c := range clients {
		one, ok := w.of(c.id)
		if !ok {
			continue
		}
		ran++
		if c.sentAt.Sub(stopped) <= excused || c.signed != "" || one.brokenAt.IsZero() || time.Since(c.sentAt) > 2*orderDeadline {
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: request %s, sent %.3f s after SIGTERM, was passed on to %s and broken off after %.3f s of work; its client got %d, unsigned, %.3f s after SIGTERM",
			c.id, c.sentAt.Sub(stopped).Seconds(), one.upstream, one.brokenAt.Sub(one.began).Seconds(), c.status, c.answered.Sub(stopped).Seconds()))
	}
	f.record.printf("%d requests ran, %d of them break the rule", ran, len(broken))
	if ran == 0 && len(clients) > 0 && clients[0].status == http.StatusOK {
		return nil, errors.New("no request ran")
	}
	return broken, nil
}
