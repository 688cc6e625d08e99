// Package registered tests daemons whose hosts and backend servers register
// themselves, against the stand-in of the platform's store.
package registered

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/cli"
	"github.com/tideliftd/tidelift/internal/daemon"
	"github.com/tideliftd/tidelift/internal/settings"
	"github.com/tideliftd/tidelift/platform"
	"github.com/tideliftd/tidelift/test/harness"
	"github.com/tideliftd/tidelift/test/standin"
)

const (
	// waitTimeout bounds waits for conditions that a passing test meets much sooner.
	waitTimeout = 20 * time.Second
)

const settingsText = `name: host-%[1]d
data-centre: dc%[2]d
service: %[6]s
listen: {callers: "%[3]s:1001", peers: "%[3]s:1002", control: "%[3]s:1003", operators: "%[3]s:1006", check-ins: "%[3]s:1004", ready: "%[3]s:1005"}
platform: {address: "%[4]s"}
keys: {trusted-network: true}
source: {declared: platform%[7]s}
limits: {stop: 3s, unready: %[5]s}
`

const desiredText = `{"version":%d,
"routes":[
 {"name":"once","host":"a.example","path-prefix":"/once/","route-type":"non_idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"lookup","attempts":2},
 {"name":"twice","host":"a.example","path-prefix":"%s","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":2,"service":"lookup","attempts":2}],
"services":[{"name":"lookup"%s}],"limits":{"max-body-bytes":100000}}`

// fleet is a set of daemons, each with a backend server on the same host.
type fleet struct {
	t        testing.TB
	store    *standin.Standin
	storeURL string
	source   string // additional settings under source, in YAML
	settings string // additional settings, in YAML
	declared string // additional fields of the service, in JSON
	net      string // the first three octets of the hosts' addresses
	hosts    []*host
	// dataCentres is the number of data centres that the hosts are spread over. Within a single one, every
	// backend server gets some of the requests, which shows the backend servers that a host knows.
	dataCentres int
	// storeLinks holds a link to the store for each host, by the name of its daemon; nil if daemons call it directly.
	storeLinks *harness.Faults
}

// host is a daemon and its backend server.
type host struct {
	fleet    *fleet
	number   int
	service  string
	stop     context.CancelFunc
	ended    chan struct{}
	backend  *httptest.Server
	name     string // of the backend server's incarnation
	sequence int64
	unready  time.Duration // how long its daemon continues to serve during a planned stop
	cold     float64       // how much longer its backend server is cold, in seconds
	served   atomic.Int64
	// hasStoreLink reports whether the host's link to the store has been started.
	hasStoreLink bool
	crashed      atomic.Bool // the backend server has crashed and not restarted yet
	handler      atomic.Pointer[func(http.ResponseWriter, *http.Request)]
	log          syncBuffer
}

// syncBuffer is a log that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends to the log.
func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) contains(text string) bool { return s.count(text) > 0 }

func (s *syncBuffer) count(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Count(s.b.String(), text)
}

// newFleet starts daemons and their backend servers and waits until every daemon is ready and sends
// requests to every backend server.
func newFleet(t testing.TB, count int) *fleet {
	t.Helper()
	f := newStore(t)
	f.startHosts(count)
	for _, h := range f.hosts {
		f.waitUntil("every backend server to be reachable from "+h.daemonName(), func() bool { return h.reachable() == count })
	}
	return f
}

// startHosts starts daemons with a backend server each and waits until every daemon is ready.
func (f *fleet) startHosts(count int) {
	f.writeDesired(1, "/twice/")
	for range count {
		f.add("lookup").start()
	}
	for _, h := range f.hosts {
		h.startIncarnation("first")
	}
	for _, h := range f.hosts {
		h.waitReady()
	}
}

// stopConcurrently makes the daemons stop concurrently at the end of the test.
func (f *fleet) stopConcurrently() {
	f.t.Cleanup(func() {
		for _, h := range f.hosts {
			h.stop()
		}
	})
}

// newStore returns a fleet with a store and without hosts.
func newStore(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{t: t, dataCentres: 1, store: standin.New(), net: fmt.Sprintf("127.%d.%d", 100+rand.N(100), 1+rand.N(250))}
	server := httptest.NewServer(f.store.Handler())
	t.Cleanup(server.CloseClientConnections)
	f.storeURL = server.URL
	return f
}

// addStoreLinks lets each daemon call the store through a link of its own. Call it before daemons start.
func (f *fleet) addStoreLinks() {
	links, stopLinks := harness.NewFaults()
	f.t.Cleanup(stopLinks)
	f.storeLinks = links
}

// silenceStore lets no data pass between the host's daemon and the store. Connections stay open.
func (h *host) silenceStore() {
	for _, direction := range []harness.Direction{harness.Requests, harness.Responses} {
		if err := h.fleet.storeLinks.Cut(h.daemonName(), direction); err != nil {
			h.fleet.t.Fatal(err)
		}
	}
}

// storeURL returns the URL at which the host's daemon calls the store, and starts the link that is there.
func (h *host) storeURL() string {
	if h.fleet.storeLinks == nil {
		return h.fleet.storeURL
	}
	address := h.ip() + ":1007"
	if !h.hasStoreLink {
		if err := h.fleet.storeLinks.Add(h.daemonName(), address, strings.TrimPrefix(h.fleet.storeURL, "http://")); err != nil {
			h.fleet.t.Fatal(err)
		}
		h.hasStoreLink = true
	}
	return "http://" + address
}

// add adds a host with a backend server of the service. It does not start the daemon.
func (f *fleet) add(service string) *host {
	h := &host{fleet: f, number: len(f.hosts), service: service}
	h.backend = httptest.NewServer(http.HandlerFunc(h.serve))
	f.t.Cleanup(h.backend.Close)
	f.hosts = append(f.hosts, h)
	return h
}

func (f *fleet) writeDesired(version int, path string) {
	f.store.Write(platform.DesiredKey, fmt.Appendf(nil, desiredText, version, path, f.declared))
}

func (f *fleet) waitUntil(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			for _, h := range f.hosts {
				f.t.Logf("log of %s:\n%s", h.daemonName(), h.log.b.String())
			}
			f.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func (h *host) ip() string         { return fmt.Sprintf("%s.%d", h.fleet.net, h.number+1) }
func (h *host) daemonName() string { return fmt.Sprintf("host-%d", h.number) }

// start starts the host's daemon.
func (h *host) start() {
	h.fleet.t.Helper()
	storeURL := h.storeURL()
	text := fmt.Sprintf(settingsText, h.number, h.number%h.fleet.dataCentres, h.ip(), storeURL, h.unready, h.service, h.fleet.source) + h.fleet.settings
	s, err := settings.Parse("settings.yaml", []byte(text))
	if err != nil {
		h.fleet.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	kv, closeStore := platform.NewStore(platform.StoreConfig{Address: storeURL})
	config := cli.DaemonConfig(s, kv)
	config.Logger = slog.New(slog.NewJSONHandler(&h.log, nil))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer closeStore()
		if err := daemon.Run(ctx, config); err != nil {
			_, _ = fmt.Fprintf(&h.log, "ended with %v\n", err)
		}
	}()
	h.stop, h.ended = stop, ended
	h.fleet.t.Cleanup(h.end)
}

// end stops the daemon gracefully and waits until it has ended.
func (h *host) end() {
	h.stop()
	<-h.ended
}

// startIncarnation starts a new incarnation of the backend server and checks it in.
func (h *host) startIncarnation(incarnation string) {
	h.name = fmt.Sprintf("i-%s-%d", incarnation, h.number)
	h.sequence = 0
	h.checkIn("ready")
}

// checkIn sends a check-in with the state until the daemon confirms it.
func (h *host) checkIn(state string) {
	h.fleet.t.Helper()
	h.sendCheckIn(http.MethodPut, h.nextCheckIn(state))
}

// checkInBorn sends a check-in that says when the backend server started, in Unix milliseconds.
func (h *host) checkInBorn(born int64) {
	h.fleet.t.Helper()
	h.sendCheckIn(http.MethodPut, strings.TrimSuffix(h.nextCheckIn("ready"), "}")+fmt.Sprintf(`,"born":%d}`, born))
}

// nextCheckIn returns the body of the backend server's next check-in.
func (h *host) nextCheckIn(state string) string {
	h.sequence++
	return fmt.Sprintf(`{"service":"%s","address":"%s","zone":"dc0","version":"v1","capacity":4,"state":"%s","cold-remaining-s":%g,"call-seq":%d}`,
		h.service, h.backend.Listener.Addr(), state, h.cold, h.sequence)
}

func (h *host) sendCheckIn(method, body string) {
	h.fleet.t.Helper()
	h.fleet.waitUntil(method+" of "+h.name, func() bool { return h.sendCheckInOnce(method, h.name, body) == http.StatusOK })
}

// sendCheckInOnce sends the host's daemon one check-in or deregistration of the backend server of that name and returns
// the status, 0 without a response.
func (h *host) sendCheckInOnce(method, name, body string) int {
	r, err := http.NewRequest(method, "http://"+h.ip()+":1004/v1/backend-servers/"+name, strings.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (h *host) waitReady() {
	h.fleet.t.Helper()
	h.fleet.waitUntil(h.daemonName()+" is ready", h.isReady)
}

// isReady reports whether the daemon's readiness check succeeds.
func (h *host) isReady() bool {
	response, err := http.Get("http://" + h.ip() + ":1005/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// reachable returns how many backend servers receive requests that are sent to this host.
func (h *host) reachable() int {
	before := make([]int64, len(h.fleet.hosts))
	for i, other := range h.fleet.hosts {
		before[i] = other.served.Load()
	}
	for range 8 * len(h.fleet.hosts) {
		h.get("/twice/x")
	}
	reachable := 0
	for i, other := range h.fleet.hosts {
		if other.served.Load() > before[i] {
			reachable++
		}
	}
	return reachable
}

// serve handles a request as the backend server. It refuses those for another incarnation.
func (h *host) serve(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Target-Instance") != h.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.served.Add(1)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if handler := h.handler.Load(); handler != nil {
		(*handler)(w, r)
		return
	}
	time.Sleep(2 * time.Millisecond) // so that concurrent requests are spread over the other hosts too
	writeSigned(w, http.StatusOK, "done")
}

func writeSigned(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Response-Signature", "sum")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// setHandler replaces the handler of the backend server.
func (h *host) setHandler(handler func(http.ResponseWriter, *http.Request)) {
	h.handler.Store(&handler)
}

var nextID atomic.Int64

// idPrefix begins the request ids that newID returns.
const idPrefix = "id-"

// newID returns a unique request id.
func newID() string { return fmt.Sprintf("%s%d", idPrefix, nextID.Add(1)) }

// newRequest returns a request with that id to the host's daemon.
func (h *host) newRequest(ctx context.Context, method, path, id, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(h.ip(), "1001")+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the method and the address are well formed
	}
	r.Host = "a.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Request-Deadline-Ms", "1500")
	return r
}

// get sends a request to the host's daemon and returns the status and body. Without a
// response, it returns status 0 and the error's text.
func (h *host) get(path string) (int, string) {
	r := h.newRequest(context.Background(), http.MethodGet, path, newID(), "")
	r.Header.Set("Caller-Service", "forged")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}
