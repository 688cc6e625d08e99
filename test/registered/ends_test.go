package registered

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/fingerprint"
	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/result"
)

// The tests of this file guard against a request that crashes each backend server that runs it and that callers
// repeat at many hosts under new ids: limits that count by request id do not stop it.

const (
	// crashesAllowed is how many backend servers a request may crash before it is quarantined, and how often it
	// may be sent to others after that.
	crashesAllowed = 3
	// quarantinedWithin is how long after the last allowed crash the whole fleet may take to refuse the request.
	quarantinedWithin = 3 * time.Second
	// restartAfter is how long a crashed backend server is unavailable.
	restartAfter = 1500 * time.Millisecond
	// crashingBody is the body of the request that crashes the backend server.
	crashingBody = "ends"
)

// crashRecorder counts the crashing request's arrivals and crashes, and the innocent requests that were served.
type crashRecorder struct {
	mu       sync.Mutex
	arrivals []time.Time // of the crashing request at backend servers
	crashes  []time.Time // times of the crashes
	sent     int         // innocent requests since the crashing one should be quarantined
	served   int
}

// check fails the test if the request was sent too often after it should have been quarantined.
func (s *crashRecorder) check(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < crashesAllowed {
		t.Fatalf("only %d backend servers crashed, too few for a quarantine", len(s.crashes))
	}
	slices.SortFunc(s.crashes, time.Time.Compare)
	known := s.crashes[crashesAllowed-1].Add(quarantinedWithin)
	late := 0
	for _, at := range s.arrivals {
		if at.After(known) {
			late++
		}
	}
	t.Logf("%d backend servers crashed, %d arrivals after the quarantine was due; %d of %d innocent requests served", len(s.crashes), late, s.served, s.sent)
	if late > crashesAllowed {
		t.Fatalf("request that crashed %d backend servers was sent to others %d times later than %v after the third crash, want at most %d", len(s.crashes), late, quarantinedWithin, crashesAllowed)
	}
}

// crashingHandler returns the handler of a backend server that crashes on the request with crashingBody and restarts later.
func (h *host) crashingHandler(seen *crashRecorder) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) != crashingBody {
			time.Sleep(5 * time.Millisecond)
			writeSigned(w, http.StatusOK, "done")
			return
		}
		seen.mu.Lock()
		seen.arrivals = append(seen.arrivals, time.Now())
		seen.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		if h.crash() {
			seen.mu.Lock()
			seen.crashes = append(seen.crashes, time.Now())
			seen.mu.Unlock()
		}
		panic(http.ErrAbortHandler)
	}
}

// crash closes the backend server's listener and all its connections, as the kernel does for a killed
// process, and restarts it under another name after backAfter. It reports false if the backend server is down already.
func (h *host) crash() bool { return h.crashFor(restartAfter) }

// crashFor is crash with another time until the restart.
func (h *host) crashFor(down time.Duration) bool {
	if h.crashed.Swap(true) {
		return false
	}
	address := h.backend.Listener.Addr().String()
	_ = h.backend.Config.Close()
	time.AfterFunc(down, func() {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return // the test has ended, or the address is taken
		}
		server := httptest.NewUnstartedServer(http.HandlerFunc(h.serve))
		_ = server.Listener.Close()
		server.Listener = listener
		server.Start()
		h.fleet.t.Cleanup(func() { _ = server.Config.Close() })
		h.backend = server
		h.name = fmt.Sprintf("i-back%d-%d", nextID.Add(1), h.number)
		h.sequence = 0
		h.register()
		h.crashed.Store(false)
	})
	return true
}

// register checks the backend server in and retries while its daemon is unavailable.
func (h *host) register() {
	for range 100 {
		if h.sendCheckInOnce(http.MethodPut, h.name, h.nextCheckIn("ready")) == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// post sends a request with that body to the host's daemon and returns the status, 0 without a response.
func (h *host) post(path, body string) int {
	response := h.exchange(path, body)
	if response == nil {
		return 0
	}
	return response.StatusCode
}

// exchange sends a request with that body to the host's daemon and returns the response without its body,
// or nil if there is none.
func (h *host) exchange(path, body string) *http.Response {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	response, err := http.DefaultClient.Do(h.newRequest(ctx, http.MethodPost, path, newID(), body))
	if err != nil {
		return nil
	}
	_ = response.Body.Close()
	return response
}

// callAtRate calls the function perSecond times a second, each time with a random host, until ctx ends.
func (f *fleet) callAtRate(ctx context.Context, wg *sync.WaitGroup, perSecond int, call func(*host)) {
	wg.Go(func() {
		for ctx.Err() == nil {
			h := f.hosts[rand.IntN(len(f.hosts))]
			wg.Go(func() { call(h) })
			time.Sleep(time.Second / time.Duration(perSecond))
		}
	})
}

// newCrashingFleet starts a fleet whose backend servers crash on the request with crashingBody.
func newCrashingFleet(t *testing.T, hosts int) (*fleet, *crashRecorder) {
	t.Helper()
	f := newFleet(t, hosts)
	f.stopConcurrently()
	seen := &crashRecorder{}
	for _, h := range f.hosts {
		h.setHandler(h.crashingHandler(seen))
	}
	return f, seen
}

// TestCrashingRequestIsQuarantined guards against a crashing request that is not quarantined, or whose
// quarantine affects innocent requests to the same path.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	tests := map[string]func(*fleet, time.Duration){
		"it is sent to every host": func(*fleet, time.Duration) {},
		"daemons restart": func(f *fleet, at time.Duration) {
			h := f.hosts[int(at/time.Second)%len(f.hosts)]
			h.end()
			h.start()
			h.waitReady()
			h.register()
		},
		"the store is unavailable for some seconds": func(f *fleet, at time.Duration) {
			f.store.SetOutage(at < 4*time.Second)
		},
	}
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // the subtests mostly wait
			const hosts, played, judged = 8, 10 * time.Second, 7 * time.Second
			f, seen := newCrashingFleet(t, hosts)
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), played)
			defer cancel()
			var wg sync.WaitGroup
			f.callAtRate(ctx, &wg, 5, func(h *host) { h.post("/twice/ending", crashingBody) })
			f.callAtRate(ctx, &wg, 40, func(h *host) {
				judging := time.Since(began) > judged
				status := h.post("/twice/ending", "innocent")
				if !judging {
					return
				}
				seen.mu.Lock()
				defer seen.mu.Unlock()
				seen.sent++
				if status == http.StatusOK {
					seen.served++
				}
			})
			for ctx.Err() == nil {
				tests[name](f, time.Since(began))
				time.Sleep(500 * time.Millisecond)
			}
			wg.Wait()
			lines := 0
			for _, h := range f.hosts {
				lines += h.log.count(`"msg":"backend server ended"`)
			}
			t.Logf("%d log lines about runs that ended with a crash of their backend server", lines)
			seen.check(t)
			if name != "daemons restart" && seen.served < seen.sent*99/100 {
				t.Fatalf("%d of %d innocent requests were served after the quarantine was due", seen.served, seen.sent)
			}
		})
	}
}

// TestUnrelatedCrashesQuarantineNoRequest guards against the quarantine of requests that merely run at the time
// of a crash: backend servers crash every 0.9 s while the same three requests run at all of them.
func TestUnrelatedCrashesQuarantineNoRequest(t *testing.T) {
	const hosts, played = 8, 8 * time.Second
	f, _ := newCrashingFleet(t, hosts)
	ctx, cancel := context.WithTimeout(t.Context(), played)
	defer cancel()
	var wg sync.WaitGroup
	var asked, served atomic.Int64
	for n := range 3 {
		f.callAtRate(ctx, &wg, 40, func(h *host) {
			asked.Add(1)
			if h.post(fmt.Sprintf("/twice/innocent%d", n), "same") == http.StatusOK {
				served.Add(1)
			}
		})
	}
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(900 * time.Millisecond)
		f.hosts[n%hosts].crash()
	}
	wg.Wait()
	t.Logf("%d of %d served", served.Load(), asked.Load())
	if served.Load() < asked.Load()-asked.Load()/200 {
		t.Fatalf("%d of %d requests were served during crashes that they did not cause", served.Load(), asked.Load())
	}
}

// TestAnswerRefutesQuarantineThatArrivesLater guards against the refusal of a request that was answered after the crashes
// for which another data centre's daemons, which do not know of the answer, have quarantined it.
func TestAnswerRefutesQuarantineThatArrivesLater(t *testing.T) {
	f := newFleet(t, 3)
	id, err := fingerprint.Request{Method: http.MethodPost, Host: "a.example", Path: "/once/innocent", Body: func(int) ([]byte, error) {
		return []byte("same"), nil
	}}.Digest()
	if err != nil {
		t.Fatal(err)
	}
	record := quarantine.Record{ID: id, HeadHash: fingerprint.Request{Method: http.MethodPost, Host: "a.example", Path: "/once/innocent"}.HeadHash(), Service: "lookup"}
	for n := range quarantine.Limit {
		record.Ends = append(record.Ends, quarantine.End{Server: fmt.Sprint(n), At: time.Now().UnixMilli()})
	}
	time.Sleep(2 * time.Millisecond) // the answer is later than the ends, in milliseconds
	f.waitUntil("each backend server has answered the request", func() bool {
		f.hosts[rand.IntN(len(f.hosts))].post("/once/innocent", "same")
		return !slices.ContainsFunc(f.hosts, func(h *host) bool { return h.served.Load() == 0 })
	})
	data, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	key := "tidelift/quarantine/held/" + id
	f.store.Write(key, data)
	f.waitUntil("a daemon writes that the request was answered", func() bool {
		value, _ := f.store.Value(key)
		return strings.Contains(value, "cleared_until")
	})
	for _, h := range f.hosts {
		if held := h.quarantined(t); len(held) > 0 {
			t.Errorf("host %d has the request in quarantine: %+v", h.number, held)
		}
		if status := h.post("/once/innocent", "same"); status != http.StatusOK {
			t.Errorf("host %d responds with status %d", h.number, status)
		}
	}
}

// TestOutageOfAllQuarantinesNoRequestForGood guards against an innocent request that no backend server gets any more, since all
// of them crashed while they ran it and its trial came before they had started again.
func TestOutageOfAllQuarantinesNoRequestForGood(t *testing.T) {
	const down = 3 * time.Second
	f := newFleet(t, quarantine.Limit)
	f.stopConcurrently()
	running := make([]atomic.Int64, len(f.hosts))
	for i, h := range f.hosts {
		h.setHandler(func(w http.ResponseWriter, r *http.Request) {
			running[i].Add(1)
			defer running[i].Add(-1)
			select {
			case <-time.After(300 * time.Millisecond):
				writeSigned(w, http.StatusOK, "done")
			case <-r.Context().Done():
			}
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var calling sync.WaitGroup
	f.callAtRate(ctx, &calling, 20, func(h *host) { h.get("/twice/popular") })
	for idle := true; idle; time.Sleep(time.Millisecond) {
		idle = running[0].Load() == 0 || running[1].Load() == 0 || running[2].Load() == 0
	}
	for _, h := range f.hosts {
		h.crashFor(down)
	}
	time.Sleep(down / 2)
	if !slices.ContainsFunc(f.hosts, func(h *host) bool { return len(h.quarantined(t)) > 0 }) {
		t.Error("the request is not quarantined, so that the test shows nothing")
	}
	time.Sleep(down)
	f.waitUntil("the request is served again at every host", func() bool {
		return !slices.ContainsFunc(f.hosts, func(h *host) bool {
			status, _ := h.get("/twice/popular")
			return status != http.StatusOK
		})
	})
	cancel()
	calling.Wait()
}

// TestOtherFailuresAreNotCountedAsCrashes guards against counting a broken connection of a running backend server, or the
// exit of a draining one, as a crash caused by the request.
func TestOtherFailuresAreNotCountedAsCrashes(t *testing.T) {
	tests := map[string]func(*host) func(http.ResponseWriter, *http.Request){
		"a broken connection": func(*host) func(http.ResponseWriter, *http.Request) {
			return func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		},
		"the exit of a draining one": func(h *host) func(http.ResponseWriter, *http.Request) {
			return func(http.ResponseWriter, *http.Request) {
				h.checkIn("draining")
				h.crash()
				panic(http.ErrAbortHandler)
			}
		},
	}
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := newCrashingFleet(t, 4)
			for _, h := range f.hosts {
				h.setHandler(tests[name](h))
			}
			for n := range 3 * len(f.hosts) {
				f.hosts[n%len(f.hosts)].post("/once/guilty", "same")
			}
			time.Sleep(200 * time.Millisecond) // until a crash would have been recorded
			for _, h := range f.hosts {
				if held, err := h.operators(t).ListQuarantine(t.Context()); err != nil || len(held) > 0 || h.log.contains(`"msg":"backend server ended"`) {
					t.Fatalf("crashes were attributed to requests: %+v, error %v", held, err)
				}
			}
		})
	}
}

// TestQuarantineIsListedAndLifted guards against quarantines that operators cannot list and lift at a host other than
// the one that first detected them.
func TestQuarantineIsListedAndLifted(t *testing.T) {
	f, _ := newCrashingFleet(t, 5)
	first, other := f.hosts[0], f.hosts[1]
	f.waitUntil("the request is quarantined and its trial has failed", func() bool { // three crashes and one trial
		first.post("/twice/ending", crashingBody)
		held := other.quarantined(t)
		return len(held) == 1 && held[0].Tried.Or("") != ""
	})
	f.waitUntil("all backend servers have restarted", func() bool {
		return !slices.ContainsFunc(f.hosts, func(h *host) bool { return h.crashed.Load() })
	})
	for _, h := range f.hosts {
		h.setHandler(func(w http.ResponseWriter, _ *http.Request) { writeSigned(w, http.StatusOK, "mended") })
	}
	held := other.quarantined(t)[0]
	if held.Standing != "quarantined" || held.Path != "/twice/ending" || held.Method != http.MethodPost || len(held.Ended) != crashesAllowed {
		t.Fatalf("operator API lists %+v", held)
	}
	code, retry := first.refusal("/twice/ending", crashingBody)
	if code != "2025 quarantined" || retry != "" {
		t.Fatalf("got result %q, Retry-After %q; want 2025 without Retry-After", code, retry)
	}
	if _, err := other.operators(t).LiftQuarantine(t.Context(), &operatorapi.Lift{Fingerprint: held.Fingerprint}); err != nil {
		t.Fatal(err)
	}
	f.waitUntil("the request is served at every host", func() bool {
		return !slices.ContainsFunc(f.hosts, func(h *host) bool { return h.post("/twice/ending", crashingBody) != http.StatusOK })
	})
	if held := other.quarantined(t); len(held) > 0 {
		t.Fatalf("operator API lists lifted quarantines: %+v", held)
	}
}

// TestQuarantinedRequestKeepsNoSlot guards against slots that stay reserved for a non-idempotent request after its
// quarantine refuses it.
func TestQuarantinedRequestKeepsNoSlot(t *testing.T) {
	f, _ := newCrashingFleet(t, 5)
	f.waitUntil("the request is quarantined and its trial has failed", func() bool {
		f.hosts[0].post("/once/ending", crashingBody)
		held := f.hosts[1].quarantined(t)
		return len(held) == 1 && held[0].Tried.Or("") != ""
	})
	f.waitUntil("all backend servers have restarted", func() bool {
		return !slices.ContainsFunc(f.hosts, func(h *host) bool { return h.crashed.Load() })
	})
	for n := range 4 * len(f.hosts) {
		if code, _ := f.hosts[n%len(f.hosts)].refusal("/once/ending", crashingBody); code != "2025 quarantined" {
			t.Fatalf("got result %q, want 2025 quarantined", code)
		}
	}
	for _, h := range f.hosts {
		if slotsInUse := h.slotsInUse(t); slotsInUse != "0" {
			t.Errorf("%s has %s slots in use, want 0", h.name, slotsInUse)
		}
	}
}

// slotsInUse returns how many slots of the host's backend server are in use, as reported by its sidecar.
func (h *host) slotsInUse(t *testing.T) string {
	t.Helper()
	why, err := h.operators(t).Why(t.Context(), operatorapi.WhyParams{BackendServer: h.name})
	if err != nil {
		t.Fatal(err)
	}
	for _, observer := range why.Witnesses {
		for _, evidence := range observer.Evidence {
			if observer.Witness == "sidecar" && evidence.Name == "running" {
				return evidence.Value
			}
		}
	}
	return "unknown"
}

// operators returns a client of the operator API of the host's daemon.
func (h *host) operators(t *testing.T) *operatorapi.Client {
	t.Helper()
	client, err := operatorapi.NewClient("http://" + net.JoinHostPort(h.ip(), "1006"))
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// quarantined returns the requests that the host's daemon lists as quarantined.
func (h *host) quarantined(t *testing.T) []operatorapi.HeldRequest {
	t.Helper()
	held, err := h.operators(t).ListQuarantine(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(held, func(r operatorapi.HeldRequest) bool { return r.Standing != "quarantined" })
}

// refusal returns the result code and Retry-After header of the response to a request.
func (h *host) refusal(path, body string) (code, retryAfter string) {
	response := h.exchange(path, body)
	if response == nil {
		return "", ""
	}
	return response.Header.Get(result.Header), response.Header.Get("Retry-After")
}
