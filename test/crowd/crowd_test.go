// Package crowd tests daemons beside crowds of clients that do not behave.
//
// Each test checks what does not depend on the machine's speed: the daemon lives, its memory and descriptors stay within what its
// host grants, and an ordinary request is answered. The tests run one after the other.
package crowd

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/test/harness"
)

// programs are the built programs.
var programs harness.Programs

func TestMain(m *testing.M) { harness.RunTests(m, &programs) }

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 600
	// grantedMB is the memory that the host grants the daemon, and the bound on what it may ever have.
	grantedMB = 120
	// grantedDescriptors is how many descriptors the host grants the daemon.
	grantedDescriptors = 1000
	// waitTimeout bounds waits for conditions that a passing test meets much sooner.
	waitTimeout = 20 * time.Second
	// sendTimeout bounds how long a client of the crowd tries to send, and hold is how long it stays.
	sendTimeout = 3 * time.Second
	hold        = 2 * time.Second
	// longAnswer is the size of the answers at /antraege/long, in bytes.
	longAnswer = 250_000
)

// client is one client of a crowd. It sends what it wants on a new connection, whose deadline for writes is set.
type client func(conn net.Conn, number int)

// text returns a client that sends a text.
func text(parts ...string) client {
	whole := strings.Join(parts, "")
	return func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, whole) }
}

// fields returns that many bytes of short fields without values, with different names.
func fields(size int) string {
	var b bytes.Buffer
	for number := 0; b.Len() < size; number++ {
		fmt.Fprintf(&b, "%x:\r\n", number)
	}
	return b.String()
}

// dripping returns a client that sends the beginning and then a byte from time to time.
func dripping(beginning string) client {
	return func(conn net.Conn, _ int) {
		_, err := io.WriteString(conn, beginning)
		for end := time.Now().Add(sendTimeout); err == nil && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			_, err = io.WriteString(conn, "x")
		}
	}
}

const (
	postHead    = "POST /antraege/x HTTP/1.1\r\nHost: a\r\n"
	getHead     = "GET /antraege/x HTTP/1.1\r\nHost: a\r\n"
	noRouteHead = "POST /nowhere HTTP/1.1\r\nHost: a\r\n"
	readyHead   = "GET /ready HTTP/1.1\r\nHost: a\r\n"
	chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"
)

func repeat(text string, count int) string { return strings.Repeat(text, count) }

// callerCrowds are crowds at the address for callers.
var callerCrowds = map[string]client{
	"heads of short fields, body open":           text(postHead, fields(30_000), "Content-Length: 1\r\n\r\n"),
	"heads of short fields, body open, no route": text(noRouteHead, fields(30_000), "Content-Length: 1\r\n\r\n"),
	"heads of short fields without end":          text(getHead, fields(30_000)),
	"heads that drip":                            dripping(getHead + fields(20_000)),
	"silent connections":                         text(),
	"requests sent ahead":                        text(repeat("GET /antraege/long HTTP/1.1\r\nHost: a\r\n\r\n", 100)),
	"requests sent ahead, no route":              text(repeat("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", 1000)),
	"requests with heads of fields sent ahead":   text(repeat("GET /antraege/long HTTP/1.1\r\nHost: a\r\n"+fields(5_000)+"\r\n", 12)),
	"one answer that is not read":                text("GET /antraege/long HTTP/1.1\r\nHost: a\r\n\r\n"),
	"bodies of 65,000 bytes, one byte short":     text(postHead, "Content-Length: 65001\r\n\r\n", repeat("x", 65_000)),
	"bodies of 1 MB, one byte short":             text(postHead, "Content-Length: 1000001\r\n\r\n", repeat("x", 1_000_000)),
	"chunks of one byte, no last one":            text(postHead, chunkedHead, repeat("1\r\nx\r\n", 60_000)),
	"trailers without end":                       text(postHead, chunkedHead, "1\r\nx\r\n0\r\n", repeat("X-A: b\r\n", 50_000)),
	"bodies over the limit":                      text(postHead, "Content-Length: 90000000\r\n\r\n", repeat("x", 400_000)),
	"bodies without a route":                     text(noRouteHead, "Content-Length: 90000000\r\n\r\n", repeat("x", 400_000)),
}

// crowd is a fleet of two daemons, the first of which meets the crowd.
type crowd struct {
	t      *testing.T
	fleet  *harness.Fleet
	daemon *harness.Daemon
}

// start starts a fleet whose backend server answers ordinary requests, and long ones with longAnswer bytes.
func start(t *testing.T, settings string, descriptors int) *crowd {
	t.Helper()
	long := repeat("y", longAnswer)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/antraege/long" {
			_, _ = io.WriteString(w, long)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(backend.Close)
	f := harness.StartForTest(t, harness.Spec{
		Programs:    programs,
		DataCentres: []string{"muenchen-nord", "rosenheim"},
		HostsEach:   1,
		Settings:    settings,
		Descriptors: descriptors,
		Services: []harness.Service{
			{Name: "akten", Floor: 1, Servers: 1},
			{Name: "antraege", Floor: 1, Servers: 1, Slots: 50, Queue: 100, Addresses: []string{backend.Listener.Addr().String()}, Deadline: 3 * time.Second},
		},
	})
	return &crowd{t: t, fleet: f, daemon: f.Daemons[0]}
}

// gather connects that many clients to the address concurrently, and calls beside while they stay.
func (c *crowd) gather(address string, size int, clients []client, beside func()) {
	c.t.Helper()
	var sending, leaving sync.WaitGroup
	leave := make(chan struct{})
	sending.Add(size)
	for number := range size {
		leaving.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				sending.Done()
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			clients[number%len(clients)](conn, number)
			sending.Done()
			<-leave
		})
	}
	sending.Wait()
	time.Sleep(hold)
	beside()
	close(leave)
	leaving.Wait()
}

// checkServed checks that an ordinary request on a new connection is answered, however often it is refused before.
func (c *crowd) checkServed(when string) {
	c.t.Helper()
	transport := &http.Transport{DisableKeepAlives: true, ResponseHeaderTimeout: 5 * time.Second}
	last := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		request, err := http.NewRequest(http.MethodGet, c.fleet.URL(0, "antraege", "/x"), nil)
		if err != nil {
			c.t.Fatal(err)
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusNoContent {
			return
		}
		last = response.Status
	}
	c.t.Errorf("%s: an ordinary request is not served: %s", when, last)
}

// checkUsage checks that the daemon lives and has stayed within what its host grants.
func (c *crowd) checkUsage() {
	c.t.Helper()
	if c.daemon.Wait(0) {
		c.t.Error("the daemon has ended")
		return
	}
	peak, err := c.daemon.PeakMB()
	if err != nil || peak > grantedMB {
		c.t.Errorf("the daemon has used %.0f MB, %v; want at most %d", peak, err, grantedMB)
	}
	open, err := c.daemon.OpenDescriptors()
	if err != nil || open > grantedDescriptors {
		c.t.Errorf("the daemon has %d descriptors open, %v; want at most %d", open, err, grantedDescriptors)
	}
	c.t.Logf("peak %.0f MB, %d descriptors", peak, open)
}

// limitedSettings are the settings of a daemon with the memory that the tests grant.
var limitedSettings = fmt.Sprintf("limits: {memory-mb: %d}\nheap-growth: 100\nlong-requests: {latency-target: 750ms, pipelined: 8}\n", grantedMB)

// play lets a crowd gather at an address of a new daemon, and checks the daemon beside it and afterwards.
func play(t *testing.T, addressOf func(*harness.Daemon) string, clients ...client) {
	t.Helper()
	c := start(t, limitedSettings, grantedDescriptors)
	c.gather(addressOf(c.daemon), crowdSize, clients, func() {
		c.checkUsage()
		c.checkServed("beside the crowd")
	})
	c.checkServed("afterwards")
	c.checkUsage()
}

// TestCrowdsAtTheCallersAddress guards against crowds of callers that take a daemon's memory or descriptors.
func TestCrowdsAtTheCallersAddress(t *testing.T) {
	for name, one := range callerCrowds {
		t.Run(name, func(t *testing.T) { play(t, (*harness.Daemon).CallersAddress, one) })
	}
}

// TestCrowdsOfSeveralKinds guards against crowds that do not exceed a bound each, but do together.
func TestCrowdsOfSeveralKinds(t *testing.T) {
	play(t, (*harness.Daemon).CallersAddress, slices.Collect(maps.Values(callerCrowds))...)
}

// TestCrowdsAtOtherAddresses guards against crowds at the addresses for readiness, operators and other daemons that take a daemon's
// memory or descriptors.
func TestCrowdsAtOtherAddresses(t *testing.T) {
	clients := map[string]client{
		"heads of 900 KB without end": text(readyHead, fields(900_000)),
		"heads that drip":             dripping(readyHead + fields(20_000)),
		"bodies":                      text(readyHead, "Content-Length: 4000001\r\n\r\n", repeat("x", 4_000_000)),
		"requests sent ahead":         text(repeat(readyHead+"\r\n", 1000)),
	}
	for name, addressOf := range map[string]func(*harness.Daemon) string{
		"ready": (*harness.Daemon).ReadyAddress, "operators": (*harness.Daemon).OperatorsAddress, "peers": (*harness.Daemon).PeersAddress,
	} {
		for kind, one := range clients {
			t.Run(name+", "+kind, func(t *testing.T) { play(t, addressOf, one) })
		}
	}
}

// TestIdleCrowdLeavesDescriptors guards against connections that each got an answer and stay open, so that a daemon has no
// descriptor left for a new caller, a backend server or another daemon.
func TestIdleCrowdLeavesDescriptors(t *testing.T) {
	const (
		granted = 300
		size    = 500
	)
	askOnce := func(head string) client {
		return func(conn net.Conn, _ int) {
			_, _ = io.WriteString(conn, head+"\r\n")
			_ = conn.SetReadDeadline(time.Now().Add(sendTimeout))
			_, _ = conn.Read(make([]byte, 512))
		}
	}
	for name, test := range map[string]struct {
		addressOf func(*harness.Daemon) string
		head      string
	}{
		"callers":   {(*harness.Daemon).CallersAddress, getHead},
		"operators": {(*harness.Daemon).OperatorsAddress, readyHead},
		"ready":     {(*harness.Daemon).ReadyAddress, readyHead},
	} {
		t.Run(name, func(t *testing.T) {
			c := start(t, "limits: {idle-timeout: 10m}\n", granted)
			c.gather(test.addressOf(c.daemon), size, []client{askOnce(test.head)}, func() { c.checkServed("beside the crowd") })
			c.checkServed("afterwards")
			c.checkUsage()
		})
	}
}

// TestUnreadAnswersLeaveSlots guards against callers that do not read long answers, and so keep the slots of a backend server after
// their deadlines.
func TestUnreadAnswersLeaveSlots(t *testing.T) {
	const (
		clients = 16 // more than the slots and places in the queue
		size    = 64 << 20
	)
	deadline := 2 * time.Second
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/antraege/endless" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(size))
		piece := bytes.Repeat([]byte("y"), 1<<20)
		for sent := 0; sent < size; sent += len(piece) {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}))
	t.Cleanup(backend.Close)
	f := harness.StartForTest(t, harness.Spec{
		Programs:    programs,
		DataCentres: []string{"muenchen-nord", "rosenheim"},
		HostsEach:   1,
		Settings:    limitedSettings,
		Services: []harness.Service{
			{Name: "akten", Floor: 1, Servers: 1},
			{Name: "antraege", Floor: 1, Servers: 1, Slots: 2, Queue: 4, Addresses: []string{backend.Listener.Addr().String()}, Deadline: deadline},
		},
	})
	for number, d := range f.Daemons {
		t.Run([]string{"through another host", "at the backend server's host"}[number], func(t *testing.T) {
			c := &crowd{t: t, fleet: f, daemon: d}
			c.gather(d.CallersAddress(), clients, []client{text("GET /antraege/endless HTTP/1.1\r\nHost: a\r\n\r\n")}, func() {
				time.Sleep(deadline)
				c.checkServed("beside the crowd")
			})
		})
	}
}

// TestStopBesideCrowd guards against a planned stop that does not end, or exceeds the memory, while a crowd stays.
func TestStopBesideCrowd(t *testing.T) {
	c := start(t, strings.Replace(limitedSettings, "limits: {", "limits: {stop: 6s, unready: 1s, ", 1), grantedDescriptors)
	c.gather(c.daemon.CallersAddress(), crowdSize, slices.Collect(maps.Values(callerCrowds)), func() {
		c.checkUsage()
		if err := c.daemon.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if !c.daemon.Wait(waitTimeout) {
			t.Error("the daemon does not end")
		}
	})
}
