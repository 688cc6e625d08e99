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
)

// TestRequestsCarryWhatTheySay looks at a request as the backend server gets it.
func TestRequestsCarryWhatTheySay(t *testing.T) {
	f := newFleet(t, 2)
	var wrong atomic.Pointer[string]
	for _, h := range f.hosts {
		h.does(func(w http.ResponseWriter, r *http.Request) {
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
			signed(w, http.StatusCreated, "made")
		})
	}
	for _, h := range f.hosts {
		for range 10 {
			if status, body := h.get("/once/x"); status != http.StatusCreated || body != "made" {
				t.Fatalf("%d %q", status, body)
			}
		}
	}
	if text := wrong.Load(); text != nil {
		t.Fatalf("a backend server got %s", *text)
	}
	if status, _ := f.hosts[0].get("/other/x"); status != http.StatusNotFound {
		t.Fatalf("a path without a route got %d", status)
	}
}

// TestAnOutageOfTheStoreStopsNothing changes backend servers while the store is
// away, and the desired state once it is back.
func TestAnOutageOfTheStoreStopsNothing(t *testing.T) {
	f := newFleet(t, 4)
	f.store.SetOutage(true)
	f.hosts[0].begin("second")
	f.await("a new lifetime known to others", func() bool { return f.hosts[1].known() == 4 && f.hosts[3].known() == 4 })
	f.store.ExpireLeases()
	f.store.CompactHistory()
	f.desire(2, "/changed/")
	f.store.SetOutage(false)
	for _, h := range f.hosts {
		f.await("the change in force at "+h.daemonName(), func() bool {
			status, _ := h.get("/changed/x")
			return status == http.StatusOK
		})
	}
	f.await("the hosts' records back in the store", func() bool {
		for _, h := range f.hosts {
			if _, ok := f.store.Value("tidelift/hosts/" + h.daemonName()); !ok {
				return false
			}
		}
		return true
	})
}

// TestADaemonWithoutTheStoreIsFoundByTheOthers starts one anew while the store is
// away: it knows nobody and has no desired state.
func TestADaemonWithoutTheStoreIsFoundByTheOthers(t *testing.T) {
	f := newFleet(t, 3)
	f.store.SetOutage(true)
	restarted := f.hosts[1]
	restarted.end()
	restarted.start()
	restarted.checkIn("ready")
	restarted.awaitReady()
	f.await("it reaches all", func() bool { return restarted.known() == 3 })
	f.await("all reach it", func() bool { return f.hosts[0].known() == 3 })
}

// TestLeavingBinds tells that a backend server leaves, in both ways, and starts its
// daemon anew: nothing reaches it from the confirmation on, whatever late check-in
// comes.
func TestLeavingBinds(t *testing.T) {
	f := newFleet(t, 3)
	leave := map[string]func(*host){
		"first says so": func(h *host) { h.checkIn("draining") },
		"only ends":     func(h *host) { h.tell(http.MethodDelete, "") },
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
					t.Fatalf("a request got %d", status)
				}
				h.get("/twice/x")
			}
			h.checkIn("ready")
			h.end()
			h.start()
			h.awaitReady()
			f.await("it hears that the backend server left", func() bool { return h.log.contains(`"why":"left in an earlier life"`) })
			h.checkIn("ready")
			for range 30 {
				h.get("/twice/x")
			}
			if got := h.served.Load(); got != served {
				t.Fatalf("%d requests reached a backend server that left", got-served)
			}
		})
	}
}

// TestAnswers gives one backend server answers that are not to be passed on as
// they are: idempotent requests are answered by the other, one that must not run
// twice fails clearly or is tried elsewhere if it has not run.
func TestAnswers(t *testing.T) {
	f := newFleet(t, 2)
	bad, good := f.hosts[0], f.hosts[1]
	for range 400 {
		good.get("/once/x") // each earns a part of a retry
	}
	var name atomic.Pointer[string]
	good.does(func(w http.ResponseWriter, _ *http.Request) { signed(w, http.StatusOK, "good") })
	tests := []struct {
		name   string
		answer func(http.ResponseWriter)
		once   int // the status of one that must not run twice and got this answer
	}{
		{"no digest", func(w http.ResponseWriter) { _, _ = w.Write([]byte("bad")) }, http.StatusBadGateway},
		{"a coding that nobody asked for", func(w http.ResponseWriter) {
			w.Header().Set("Content-Encoding", "gzip")
			signed(w, http.StatusOK, "bad")
		}, http.StatusBadGateway},
		{"a refusal that promises nothing", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, http.StatusBadGateway},
		{"a refusal that promises", func(w http.ResponseWriter) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusOK},
		{"another lifetime at the address", func(w http.ResponseWriter) { w.WriteHeader(http.StatusMisdirectedRequest) }, http.StatusOK},
		{"an answer to another request", func(w http.ResponseWriter) {
			w.Header().Set("Request-Id", "other")
			signed(w, http.StatusOK, "bad")
		}, http.StatusGatewayTimeout}, // its own may still come, so it is waited for
		{"a failure of its own", func(w http.ResponseWriter) { signed(w, http.StatusInternalServerError, "bad") }, http.StatusInternalServerError},
		{"an answer that breaks off", func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "99")
			signed(w, http.StatusOK, "bad")
			panic(http.ErrAbortHandler)
		}, http.StatusBadGateway},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			name.Store(&test.name)
			met := make(chan struct{}, 100)
			bad.does(func(w http.ResponseWriter, _ *http.Request) {
				met <- struct{}{}
				test.answer(w)
			})
			for end := time.Now().Add(patience); ; {
				status, body := good.get("/twice/x")
				if status != http.StatusOK || body != "good" {
					t.Fatalf("a repeatable request got %d %q", status, body)
				}
				once, body := good.get("/once/x")
				if once != http.StatusOK && (once != test.once || strings.Contains(body, "bad") && once < http.StatusInternalServerError) {
					t.Fatalf("one that must not run twice got %d %q, want %d", once, body, test.once)
				}
				if len(met) > 0 || time.Now().After(end) {
					break
				}
			}
			if len(met) == 0 {
				t.Fatal("no request met the answer")
			}
			bad.does(func(w http.ResponseWriter, _ *http.Request) { signed(w, http.StatusOK, "good") })
			f.await("it is trusted again", func() bool {
				before := bad.served.Load()
				for range 4 {
					good.get("/once/x")
				}
				return bad.served.Load() > before
			})
		})
	}
}

// TestHostsOutOfReachAreNotWaitedFor takes a host away without a word: requests go
// elsewhere, each in good time.
func TestHostsOutOfReachAreNotWaitedFor(t *testing.T) {
	f := newFleet(t, 3)
	f.hosts[2].end()
	slow := 0
	for range 60 {
		began := time.Now()
		if status, body := f.hosts[0].get("/once/x"); status != http.StatusOK {
			t.Fatalf("got %d %q", status, body)
		}
		if time.Since(began) > 300*time.Millisecond {
			slow++
		}
	}
	if slow > 3 {
		t.Fatalf("%d of 60 requests waited for a host that is away", slow)
	}
}

// TestASlowOneIsAskedLast makes one backend server a hundred times slower than the
// others: soon few requests meet it.
func TestASlowOneIsAskedLast(t *testing.T) {
	f := newFleet(t, 3)
	slow := f.hosts[0]
	slow.does(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(300 * time.Millisecond)
		signed(w, http.StatusOK, "slow")
	})
	// A suspected backend server is probed by one request at a time, however many there are: callers
	// beside each other make the share of those requests independent of how long the others take.
	const callers, each = 6, 10
	f.await("it is suspected and few meet it", func() bool {
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

// TestADaemonThatIsBackKnowsWhoServes starts a daemon again, with nothing left of what
// it knew: the first requests are served by the backend servers of other hosts.
func TestADaemonThatIsBackKnowsWhoServes(t *testing.T) {
	f := newFleet(t, 3)
	for range 3 {
		f.hosts[0].end()
		f.hosts[0].start()
		f.hosts[0].awaitReady()
		for range 5 {
			if status, body := f.hosts[0].get("/once/x"); status != http.StatusOK {
				t.Fatalf("got %d %q", status, body)
			}
		}
	}
}

// TestAStoppingDaemonServesUntilCallersAreSentElsewhere stops a daemon while callers,
// each on a connection of its own, come until they see that it is not ready.
func TestAStoppingDaemonServesUntilCallersAreSentElsewhere(t *testing.T) {
	f := newFleet(t, 2)
	stopped := f.hosts[0]
	stopped.end()
	stopped.unready = 800 * time.Millisecond
	stopped.start()
	stopped.awaitReady()
	stopped.begin("second")
	go stopped.end()
	f.await("it says that it is not ready", func() bool { return !stopped.ready() })
	for end := time.Now().Add(stopped.unready / 2); time.Now().Before(end); {
		http.DefaultClient.CloseIdleConnections()
		if status, body := stopped.get("/once/x"); status != http.StatusOK {
			t.Fatalf("got %d %q", status, body)
		}
	}
}

// TestConnectionsWithoutARequestDoNotHoldAStop opens connections as callers and other
// daemons do in advance, sends nothing on them, and stops the daemon.
func TestConnectionsWithoutARequestDoNotHoldAStop(t *testing.T) {
	f := newFleet(t, 2)
	stopped := f.hosts[0]
	for _, port := range []string{"1001", "1002"} {
		c, err := net.Dial("tcp", net.JoinHostPort(stopped.ip(), port))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	stopped.get("/once/x") // the connections were accepted before it
	stopped.end()
	if stopped.log.contains(`"msg":"stop cut requests"`) || !stopped.log.contains(`"msg":"daemon stopped"`) {
		t.Fatalf("the stop ran into its limit:\n%s", stopped.log.b.String())
	}
}

// TestWhatOthersWriteNamesNobody sends check-ins that no backend server sent: of a state or service that
// is not known, under the name of one that serves or for its address. They change nothing.
func TestWhatOthersWriteNamesNobody(t *testing.T) {
	f := newFleet(t, 2)
	h := f.hosts[1]
	address := h.backend.Listener.Addr()
	foreign := map[string]string{
		h.name:    fmt.Sprintf(`{"service":"lookup","address":"%s","capacity":4,"state":"retired","call-seq":99}`, address),
		"i-other": fmt.Sprintf(`{"service":"elsewhere","address":"%s","capacity":4,"state":"ready","call-seq":1}`, address),
		"i-empty": fmt.Sprintf(`{"address":"%s"}`, address),
	}
	for name, body := range foreign {
		if status := h.tellOnce(http.MethodPut, name, body); status != http.StatusBadRequest {
			t.Errorf("%s got %d", body, status)
		}
	}
	if status := h.tellOnce(http.MethodPut, h.name, fmt.Sprintf(`{"service":"elsewhere","address":"%s","capacity":4,"state":"ready","call-seq":99}`, address)); status != http.StatusBadRequest {
		t.Errorf("a backend server that serves is said to be of another service: %d", status)
	}
	if known := f.hosts[0].known(); known != 2 {
		t.Fatalf("%d backend servers serve", known)
	}
}
