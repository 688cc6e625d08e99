package registered

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// namedLimit is the rate that a backend server names in its answers, in requests a second.
	namedLimit = 2
	// limitWindow and maxInLimitWindow bound what it gets: one and a half times what the limit allows, and 5 more.
	limitWindow      = 4 * time.Second
	maxInLimitWindow = namedLimit*3/2*4 + 5
	// obeyedAfter is how long after the first answer that names a limit it has to be kept.
	obeyedAfter = 3 * time.Second
	// leavingAfter is how long after an answer that announces that it leaves a backend server may get requests.
	leavingAfter = 2 * time.Second
)

// announcing returns a handler that records arrivals and answers with the header while it has a value.
func (a *arrivals) announcing(name string, value *atomic.Pointer[string]) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		if text := value.Load(); text != nil {
			w.Header().Set(name, *text)
		}
		a.serve(w, r)
	}
}

// newAnnouncingFleet starts three hosts, of which the first answers with the header while the value is set.
func newAnnouncingFleet(t *testing.T, header string) (f *fleet, got *arrivals, value *atomic.Pointer[string]) {
	f = newFleet(t, 3)
	got, value = &arrivals{}, &atomic.Pointer[string]{}
	f.hosts[0].setHandler(got.announcing(header, value))
	return f, got, value
}

// expectLimitKept loads the fleet and checks what the first backend server gets and that no request fails.
func (f *fleet) expectLimitKept(when string, got *arrivals) {
	f.t.Helper()
	since := time.Now()
	if failed := f.load(limitWindow+time.Second, 4); failed > 0 {
		f.t.Errorf("%s: %d requests failed although other backend servers had room", when, failed)
	}
	most := got.mostSince(since, limitWindow)
	if most > maxInLimitWindow {
		f.t.Errorf("%s: %d requests in %s, want at most %d", when, most, limitWindow, maxInLimitWindow)
	}
	if most == 0 {
		f.t.Errorf("%s: the backend server got no request", when)
	}
}

// TestNamedLimitIsKept guards against more requests than a backend server says that it takes, also after a restart of
// its daemon, and against suspicion of one that names a limit.
func TestNamedLimitIsKept(t *testing.T) {
	t.Parallel()
	f, got, value := newAnnouncingFleet(t, "Server-Limit")
	limit := strconv.Itoa(namedLimit)
	value.Store(&limit)
	f.load(obeyedAfter, 4)
	f.expectLimitKept("limited", got)
	limited := f.hosts[0]
	limited.end()
	limited.start()
	limited.waitReady()
	limited.checkIn("ready")
	f.expectLimitKept("after a restart of the daemon", got)
	if limited.log.contains("backend server suspected") {
		t.Error("the backend server was suspected")
	}
	value.Store(nil)
	f.waitUntil("the backend server to get its full share without a limit", func() bool {
		since := time.Now()
		f.load(time.Second, 4)
		return got.mostSince(since, time.Second) > 5*namedLimit
	})
}

// TestInvalidLimitChangesNothing guards against a backend server that is left without requests by a limit that cannot be read.
func TestInvalidLimitChangesNothing(t *testing.T) {
	t.Parallel()
	f, got, value := newAnnouncingFleet(t, "Server-Limit")
	for _, text := range []string{"many", "-1", "NaN", "Inf", "2;3"} {
		value.Store(&text)
		f.load(200*time.Millisecond, 4)
		since := time.Now()
		f.load(time.Second, 4)
		if most := got.mostSince(since, time.Second); most < 5*namedLimit {
			t.Errorf("limit %q: %d requests in a second", text, most)
		}
	}
}

// TestLimitOfAllRefusesAtOnce guards against requests that wait in vain for backend servers that all name a limit.
func TestLimitOfAllRefusesAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	for _, h := range f.hosts {
		h.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Server-Limit", "0.5")
			writeSigned(w, http.StatusOK, "done")
		})
	}
	f.load(obeyedAfter, 2)
	refused := 0
	for range 20 {
		began := time.Now()
		r := f.hosts[1].newRequest(context.Background(), http.MethodGet, "/once/x", newID(), "")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable {
			continue
		}
		refused++
		if took := time.Since(began); took > 400*time.Millisecond {
			t.Errorf("refused after %s", took)
		}
		if response.Header.Get("Retry-After") == "" {
			t.Error("refused without Retry-After")
		}
	}
	if refused < 10 {
		t.Errorf("%d of 20 requests were refused", refused)
	}
}

// TestLeavingAnswerEndsRequestsForGood guards against requests to a backend server that said in an answer that it is
// leaving, also some time later and after a restart of its daemon.
func TestLeavingAnswerEndsRequestsForGood(t *testing.T) {
	t.Parallel()
	f, got, value := newAnnouncingFleet(t, "Server-Leaving")
	leaving := "1"
	value.Store(&leaving)
	f.load(leavingAfter, 4)
	left := f.hosts[0]
	expectNone := func(when string, duration time.Duration) {
		t.Helper()
		since := time.Now()
		if failed := f.load(duration, 4); failed > 0 {
			t.Errorf("%s: %d requests failed although other backend servers had room", when, failed)
		}
		if count := got.mostSince(since, duration+time.Second); count > 0 {
			t.Errorf("%s: %d requests", when, count)
		}
	}
	expectNone("soon after", time.Second)
	left.checkIn("ready")
	expectNone("after a late check-in", 11*time.Second)
	left.end()
	left.start()
	left.waitReady()
	f.waitUntil("the restarted daemon to learn that the backend server has left", func() bool {
		return strings.Contains(left.log.b.String(), `"why":"left in an earlier life"`)
	})
	left.checkIn("ready")
	expectNone("after a restart of the daemon", time.Second)
}
