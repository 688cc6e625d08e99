package registered

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/platform"
)

// TestRequestsReachBackendServersWithTheirHeaders guards against wrong or internal headers on requests that reach a backend server.
func TestRequestsReachBackendServersWithTheirHeaders(t *testing.T) {
	f := newFleet(t, 2)
	var wrong atomic.Pointer[string]
	for _, h := range f.hosts {
		h.setHandler(func(w http.ResponseWriter, r *http.Request) {
			left, err := strconv.Atoi(r.Header.Get("Request-Deadline-Ms"))
			if err != nil || left <= 0 || left > 1500 || r.Header.Get("Caller-Service") != "lookup" || r.Host != "a.example" || r.URL.Path != "/once/x" {
				text := r.Host + r.URL.Path + " " + r.Header.Get("Request-Deadline-Ms") + " " + r.Header.Get("Caller-Service")
				wrong.Store(&text)
			}
			for name := range r.Header {
				if strings.HasPrefix(name, "Tidelift-") {
					wrong.Store(&name)
				}
			}
			writeSigned(w, http.StatusCreated, "made")
		})
	}
	for _, h := range f.hosts {
		for range 10 {
			if status, body := h.get("/once/x"); status != http.StatusCreated || body != "made" {
				t.Fatalf("got status %d, body %q; want 201", status, body)
			}
		}
	}
	if text := wrong.Load(); text != nil {
		t.Fatalf("backend server received %s", *text)
	}
	if status, _ := f.hosts[0].get("/other/x"); status != http.StatusNotFound {
		t.Fatalf("path without a route: got status %d, want 404", status)
	}
}

// TestFleetFollowsChangesThroughStoreOutage guards against daemons that miss new backend servers during an outage of the
// store, or changes of the desired state after it.
func TestFleetFollowsChangesThroughStoreOutage(t *testing.T) {
	f := newFleet(t, 4)
	f.store.SetOutage(true)
	f.hosts[0].startIncarnation("second")
	f.waitUntil("other hosts to reach the new incarnation", func() bool { return f.hosts[1].reachable() == 4 && f.hosts[3].reachable() == 4 })
	f.store.ExpireLeases()
	f.store.CompactHistory()
	f.writeDesired(2, "/changed/")
	f.store.SetOutage(false)
	for _, h := range f.hosts {
		f.waitUntil("the changed routes to be in force at "+h.daemonName(), func() bool {
			status, _ := h.get("/changed/x")
			return status == http.StatusOK
		})
	}
	f.waitUntil("the hosts to write their records again", func() bool {
		for _, h := range f.hosts {
			if _, ok := f.store.Value("tidelift/hosts/dc0/" + h.daemonName()); !ok {
				return false
			}
		}
		return true
	})
}

// TestDaemonRejoinsDuringStoreOutage guards against a daemon that stays isolated after a restart during an
// outage of the store, when it has neither the hosts nor the desired state.
func TestDaemonRejoinsDuringStoreOutage(t *testing.T) {
	f := newFleet(t, 3)
	f.store.SetOutage(true)
	restarted := f.hosts[1]
	restarted.end()
	restarted.start()
	restarted.checkIn("ready")
	restarted.waitReady()
	f.waitUntil("the restarted daemon to reach every backend server", func() bool { return restarted.reachable() == 3 })
	f.waitUntil("another daemon to reach every backend server", func() bool { return f.hosts[0].reachable() == 3 })
}

// TestDrainedBackendServerGetsNoRequests guards against requests to a backend server after its draining or deregistration is confirmed,
// in spite of late check-ins and a restart of its daemon.
func TestDrainedBackendServerGetsNoRequests(t *testing.T) {
	f := newFleet(t, 3)
	leave := map[string]func(*host){
		"drains first": func(h *host) { h.checkIn("draining") },
		"deregisters":  func(h *host) { h.sendCheckIn(http.MethodDelete, "") },
	}
	number := 0
	for name, how := range leave {
		h := f.hosts[number]
		number++
		t.Run(name, func(t *testing.T) {
			how(h)
			served := h.served.Load()
			for range 30 {
				if status, _ := f.hosts[2].get("/once/x"); status != http.StatusOK {
					t.Fatalf("got status %d, want 200", status)
				}
				h.get("/twice/x")
			}
			h.checkIn("ready")
			h.end()
			h.start()
			h.waitReady()
			f.waitUntil("the restarted daemon to learn that the backend server has left", func() bool { return h.log.contains(`"why":"left in an earlier life"`) })
			h.checkIn("ready")
			for range 30 {
				h.get("/twice/x")
			}
			if got := h.served.Load(); got != served {
				t.Fatalf("%d requests reached a backend server that has left", got-served)
			}
		})
	}
}

// TestInvalidResponses guards against invalid responses that reach callers unchanged, idempotent requests that are not retried
// after one, and non-idempotent requests that are retried although they may have run.
func TestInvalidResponses(t *testing.T) {
	f := newFleet(t, 2)
	bad, good := f.hosts[0], f.hosts[1]
	for range 400 {
		good.get("/once/x") // each adds to the retry budget
	}
	var name atomic.Pointer[string]
	good.setHandler(func(w http.ResponseWriter, _ *http.Request) { writeSigned(w, http.StatusOK, "good") })
	tests := []struct {
		name   string
		answer func(http.ResponseWriter)
		once   int // the status of a non-idempotent request that met this response
	}{
		{"no digest", func(w http.ResponseWriter) { _, _ = w.Write([]byte("bad")) }, http.StatusBadGateway},
		{"a coding that was not requested", func(w http.ResponseWriter) {
			w.Header().Set("Content-Encoding", "gzip")
			writeSigned(w, http.StatusOK, "bad")
		}, http.StatusBadGateway},
		{"a refusal without Not-Executed", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, http.StatusBadGateway},
		{"a refusal with Not-Executed", func(w http.ResponseWriter) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusOK},
		{"another incarnation at the address", func(w http.ResponseWriter) { w.WriteHeader(http.StatusMisdirectedRequest) }, http.StatusOK},
		{"an answer to another request", func(w http.ResponseWriter) {
			w.Header().Set("Request-Id", "other")
			writeSigned(w, http.StatusOK, "bad")
		}, http.StatusGatewayTimeout}, // the right response may still follow, so the daemon waits for it
		{"a failure of its own", func(w http.ResponseWriter) { writeSigned(w, http.StatusInternalServerError, "bad") }, http.StatusInternalServerError},
		{"a truncated response", func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "99")
			writeSigned(w, http.StatusOK, "bad")
			panic(http.ErrAbortHandler)
		}, http.StatusBadGateway},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			name.Store(&test.name)
			met := make(chan struct{}, 100)
			bad.setHandler(func(w http.ResponseWriter, _ *http.Request) {
				met <- struct{}{}
				test.answer(w)
			})
			for end := time.Now().Add(waitTimeout); ; {
				status, body := good.get("/twice/x")
				if status != http.StatusOK || body != "good" {
					t.Fatalf("idempotent request: got status %d, body %q; want 200", status, body)
				}
				once, body := good.get("/once/x")
				if once != http.StatusOK && (once != test.once || strings.Contains(body, "bad") && once < http.StatusInternalServerError) {
					t.Fatalf("non-idempotent request: got status %d, body %q; want 200 or %d", once, body, test.once)
				}
				if len(met) > 0 || time.Now().After(end) {
					break
				}
			}
			if len(met) == 0 {
				t.Fatal("no request reached the backend server with the invalid response")
			}
			bad.setHandler(func(w http.ResponseWriter, _ *http.Request) { writeSigned(w, http.StatusOK, "good") })
			f.waitUntil("the backend server to receive requests again", func() bool {
				before := bad.served.Load()
				for range 4 {
					good.get("/once/x")
				}
				return bad.served.Load() > before
			})
		})
	}
}

// TestUnreachableHostDelaysNoRequests guards against requests that fail or wait because a host has become unreachable.
func TestUnreachableHostDelaysNoRequests(t *testing.T) {
	f := newFleet(t, 3)
	f.hosts[2].end()
	slow := 0
	for range 60 {
		began := time.Now()
		if status, body := f.hosts[0].get("/once/x"); status != http.StatusOK {
			t.Fatalf("got status %d, body %q; want 200", status, body)
		}
		if time.Since(began) > 300*time.Millisecond {
			slow++
		}
	}
	if slow > 3 {
		t.Fatalf("%d of 60 requests were delayed by an unreachable host", slow)
	}
}

// TestSlowBackendServerGetsFewRequests guards against a backend server that is a hundred times slower than the others and keeps
// its share of the requests.
func TestSlowBackendServerGetsFewRequests(t *testing.T) {
	f := newFleet(t, 3)
	slow := f.hosts[0]
	slow.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(300 * time.Millisecond)
		writeSigned(w, http.StatusOK, "slow")
	})
	// A suspected backend server is probed by one request at a time, whatever the load. Concurrent
	// callers make the share of probes independent of the latency of the others.
	const callers, each = 6, 10
	f.waitUntil("the slow backend server to be suspected and receive few requests", func() bool {
		before := slow.served.Load()
		var all sync.WaitGroup
		for range callers {
			all.Go(func() {
				for range each {
					f.hosts[1].get("/once/x")
					f.hosts[2].get("/twice/x")
				}
			})
		}
		all.Wait()
		few := slow.served.Load()-before <= 2*callers*each/20
		return few && slow.log.contains(`"msg":"backend server suspected"`)
	})
}

// TestRestartedDaemonServesFirstRequests guards against a restarted daemon that reports ready before it can send requests
// to the backend servers of other hosts.
func TestRestartedDaemonServesFirstRequests(t *testing.T) {
	f := newFleet(t, 3)
	for range 3 {
		f.hosts[0].end()
		f.hosts[0].start()
		f.hosts[0].waitReady()
		for range 5 {
			if status, body := f.hosts[0].get("/once/x"); status != http.StatusOK {
				t.Fatalf("got status %d, body %q; want 200", status, body)
			}
		}
	}
}

// TestStoppingDaemonServesWhileUnready guards against a stopping daemon that refuses new connections
// before its callers have had time to notice that it is not ready.
func TestStoppingDaemonServesWhileUnready(t *testing.T) {
	f := newFleet(t, 2)
	stopped := f.hosts[0]
	stopped.end()
	stopped.unready = 800 * time.Millisecond
	stopped.start()
	stopped.waitReady()
	stopped.startIncarnation("second")
	go stopped.end()
	f.waitUntil("the stopping daemon to report that it is not ready", func() bool { return !stopped.isReady() })
	for end := time.Now().Add(stopped.unready / 2); time.Now().Before(end); {
		http.DefaultClient.CloseIdleConnections()
		if status, body := stopped.get("/once/x"); status != http.StatusOK {
			t.Fatalf("got status %d, body %q; want 200", status, body)
		}
	}
}

// TestIdleConnectionsDoNotDelayStop guards against a stop that waits for connections that callers and other
// daemons have opened in advance and not used.
func TestIdleConnectionsDoNotDelayStop(t *testing.T) {
	f := newFleet(t, 2)
	stopped := f.hosts[0]
	for _, port := range []string{"1001", "1002"} {
		c, err := net.Dial("tcp", net.JoinHostPort(stopped.ip(), port))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	stopped.get("/once/x") // its response implies that the idle connections have been accepted
	stopped.end()
	if stopped.log.contains(`"msg":"stop cut requests"`) || !stopped.log.contains(`"msg":"daemon stopped"`) {
		t.Fatalf("the stop timed out:\n%s", stopped.log.b.String())
	}
}

// TestLeavingIsRememberedWhenAllDaemonsRestart guards against requests to a backend server that has left, after its confirmed
// leaving was only in the memory of daemons that have all ended, and a late check-in of it arrives.
func TestLeavingIsRememberedWhenAllDaemonsRestart(t *testing.T) {
	for name, leave := range map[string]func(*host){
		"drains":      func(h *host) { h.checkIn("draining") },
		"deregisters": func(h *host) { h.sendCheckIn(http.MethodDelete, "") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			left, other := f.hosts[0], f.hosts[1]
			leave(left)
			left.end()
			other.end()
			other.start()
			left.start()
			left.checkIn("ready")
			other.startIncarnation("second")
			left.waitReady()
			other.waitReady()
			served := left.served.Load()
			f.waitUntil("the other backend server to be reachable", func() bool { return other.reachable() == 1 })
			for range 30 {
				left.get("/twice/x")
				other.get("/twice/x")
			}
			if got := left.served.Load(); got != served {
				t.Fatalf("the backend server that has left got %d requests", got-served)
			}
		})
	}
}

// TestCheckInOfAnotherWriterChangesNoService guards against a check-in that names another declared service under the name of a running
// backend server, which then runs that service's requests.
func TestCheckInOfAnotherWriterChangesNoService(t *testing.T) {
	f := newFleet(t, 2)
	text := fmt.Sprintf(desiredText, 2, "/twice/", "")
	text = strings.Replace(text, `"services":[`, `"services":[{"name":"records"},`, 1)
	text = strings.Replace(text, `"routes":[`, `"routes":[{"name":"r","host":"a.example","path-prefix":"/records/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"records","attempts":2},`, 1)
	f.store.Write(platform.DesiredKey, []byte(text))
	for _, h := range f.hosts {
		f.waitUntil("the new route at "+h.daemonName(), func() bool { status, _ := h.get("/records/x"); return status == http.StatusServiceUnavailable })
	}
	h := f.hosts[1]
	h.checkInBorn(1000)
	for _, born := range []string{"", `,"born":1000`} {
		body := fmt.Sprintf(`{"service":"records","address":"%s","zone":"dc0","version":"v1","capacity":4,"state":"ready","cold-remaining-s":0,"call-seq":900%s}`,
			h.backend.Listener.Addr(), born)
		if status := h.sendCheckInOnce(http.MethodPut, h.name, body); status != http.StatusBadRequest {
			t.Errorf("check-in %s: got status %d, want 400", body, status)
		}
	}
	for _, asked := range f.hosts {
		if status, _ := asked.get("/records/x"); status != http.StatusServiceUnavailable {
			t.Errorf("a request for records got status %d from %s, want 503: it has no backend server", status, asked.daemonName())
		}
		if status, _ := asked.get("/twice/x"); status != http.StatusOK {
			t.Errorf("a request for lookup got status %d from %s, want 200", status, asked.daemonName())
		}
	}
}

// TestInvalidCheckInsAreRejected guards against forged check-ins, with an unknown state or service or without a field, that
// affect a backend server of the same name or address: it would get the requests of another service.
func TestInvalidCheckInsAreRejected(t *testing.T) {
	f := newFleet(t, 2)
	h := f.hosts[1]
	address := h.backend.Listener.Addr()
	const text = `{"service":"%s","address":"%s","zone":"dc0","version":"v1","capacity":4,"state":"%s","cold-remaining-s":0,"call-seq":99}`
	foreign := map[string]string{
		h.name:    fmt.Sprintf(text, "lookup", address, "retired"),
		"i-other": fmt.Sprintf(text, "elsewhere", address, "ready"),
		"i-empty": fmt.Sprintf(`{"address":"%s"}`, address),
	}
	for name, body := range foreign {
		if status := h.sendCheckInOnce(http.MethodPut, name, body); status != http.StatusBadRequest {
			t.Errorf("check-in %s: got status %d, want 400", body, status)
		}
	}
	if status := h.sendCheckInOnce(http.MethodPut, h.name, fmt.Sprintf(text, "elsewhere", address, "ready")); status != http.StatusBadRequest {
		t.Errorf("check-in of a running backend server with another service: got status %d, want 400", status)
	}
	for _, missing := range []string{`"zone":"dc0",`, `"version":"v1",`, `"cold-remaining-s":0,`} {
		body := strings.Replace(fmt.Sprintf(text, "records", address, "ready"), missing, "", 1)
		if status := h.sendCheckInOnce(http.MethodPut, h.name, body); status != http.StatusBadRequest {
			t.Errorf("check-in %s: got status %d, want 400", body, status)
		}
	}
	if reachable := f.hosts[0].reachable(); reachable != 2 {
		t.Fatalf("%d backend servers receive requests, want 2", reachable)
	}
}
