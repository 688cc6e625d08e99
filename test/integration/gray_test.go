package integration

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/test/backendserver"
	"github.com/tideliftd/tidelift/test/harness"
)

// search sends requests until the condition holds, a hundred
// a second, and reports whether it did before patience ran out.
func search(f *harness.Fleet, done func() bool) bool {
	var wg sync.WaitGroup
	defer wg.Wait()
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		if done() {
			return true
		}
		wg.Go(func() {
			request, err := http.NewRequest(http.MethodGet, f.URL(0, "lookup", "/x"), nil)
			if err != nil {
				return
			}
			request.Header.Set(backendserver.HeaderWork, "10")
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// logged reports whether a daemon has logged the event for the backend server.
func logged(t *testing.T, f *harness.Fleet, e event.Event, backendServer string) bool {
	t.Helper()
	events, err := f.Events()
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range events {
		if l.Event == e.Number && l.BackendServer == backendServer {
			return true
		}
	}
	return false
}

func lookup(adoption string) harness.Spec {
	return harness.Spec{
		DataCentres: []string{"csepel"},
		HostsEach:   2,
		Services:    []harness.Service{{Name: "lookup", Floor: 2, Servers: 4, Detection: "swift", Adoption: adoption, Deadline: time.Second}},
	}
}

// warm lasts until the observers know what is usual.
func warm(f *harness.Fleet) {
	end := time.Now().Add(2 * time.Second)
	search(f, func() bool { return time.Now().After(end) })
}

// stallFirst warms up and makes the first backend server stall.
func stallFirst(t *testing.T, f *harness.Fleet) *harness.Backend {
	t.Helper()
	warm(f)
	sick := f.Backends[0]
	if err := sick.SetMode(backendserver.Mode{Stall: 1}); err != nil {
		t.Fatal(err)
	}
	return sick
}

func TestStalledBackendServerIsEjectedAndComesBack(t *testing.T) {
	f := start(t, lookup(""))
	sick := stallFirst(t, f)
	if !search(f, func() bool { return logged(t, f, event.ServerEjected, sick.Name) }) {
		t.Fatal("it was not ejected")
	}
	if err := sick.SetMode(backendserver.Mode{}); err != nil {
		t.Fatal(err)
	}
	if !search(f, func() bool { return logged(t, f, event.ServerReturned, sick.Name) }) {
		t.Fatal("it did not come back")
	}
}

func TestObserveDecidesAndChangesNothing(t *testing.T) {
	f := start(t, lookup("observe"))
	sick := stallFirst(t, f)
	if !search(f, func() bool { return logged(t, f, event.FloorHeld, sick.Name) }) {
		t.Fatal("nothing was reported")
	}
	if logged(t, f, event.ServerEjected, sick.Name) || logged(t, f, event.ServerAvoided, sick.Name) {
		t.Fatal("it was ejected or avoided")
	}
}

func TestMetricsCountEachReason(t *testing.T) {
	f := start(t, lookup(""))
	get(t, "http://"+f.Daemons[0].Callers()+"/unknown")
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		response, err := http.Get("http://" + f.Daemons[0].Operators() + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), `tidelift_ingress_failures{data_centre="csepel",reason="no-route"} 1`) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the refusal was not counted")
}

// TestNoLongerSteeredComesBack puts a service whose backend server is ejected under
// observe alone.
func TestNoLongerSteeredComesBack(t *testing.T) {
	f := start(t, lookup(""))
	sick := stallFirst(t, f)
	if !search(f, func() bool { return logged(t, f, event.ServerEjected, sick.Name) }) {
		t.Fatal("it was not ejected")
	}
	f.Spec.Services[0].Adoption = "observe"
	if _, err := f.Apply(context.Background(), 0, f.Declaration(), 1, "observe"); err != nil {
		t.Fatal(err)
	}
	if !search(f, func() bool { return logged(t, f, event.ServerReturned, sick.Name) }) {
		t.Fatal("it stays ejected though nothing is steered")
	}
}

// TestOwnWordThatItIsLeaving has one backend server that says so on its first
// answer. It gets no more work, the other gets all.
func TestOwnWordThatItIsLeaving(t *testing.T) {
	var draining, other atomic.Int64
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		draining.Add(1)
		w.Header().Set("X-Leaving", "1")
	}))
	t.Cleanup(first.Close)
	second := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { other.Add(1) }))
	t.Cleanup(second.Close)
	f := start(t, harness.Spec{
		DataCentres: []string{"csepel"},
		HostsEach:   1,
		Services: []harness.Service{{
			Name: "lookup", Floor: 1, Servers: 2, Addresses: []string{first.Listener.Addr().String(), second.Listener.Addr().String()},
		}},
	})
	if !search(f, func() bool { return draining.Load() > 0 }) {
		t.Fatal("it was never asked")
	}
	time.Sleep(100 * time.Millisecond) // for what was on its way
	before := draining.Load()
	for range 50 {
		if response, _ := get(t, f.URL(0, "lookup", "/x")); response.StatusCode != http.StatusOK {
			t.Fatalf("%d", response.StatusCode)
		}
	}
	if draining.Load() != before || other.Load() < 50 {
		t.Fatalf("leaving one got %d more, the other %d", draining.Load()-before, other.Load())
	}
}

// TestPlatformsListOfLeavingHosts puts a host on the platform's list and takes it
// off again.
func TestPlatformsListOfLeavingHosts(t *testing.T) {
	f := start(t, harness.Spec{
		DataCentres: []string{"csepel", "obuda"},
		HostsEach:   1,
		Services:    []harness.Service{{Name: "lookup", Floor: 1, Servers: 2}},
	})
	draining := f.Backends[0]
	list := func(text string) {
		f.Platform.Write("tidelift/leaving-hosts", []byte(text))
	}
	list(`["` + draining.Host.Name + `"]`)
	if !search(f, func() bool { return logged(t, f, event.ServerDraining, draining.Name) }) {
		t.Fatal("it went on as if nothing were said")
	}
	list("[]")
	if !search(f, func() bool { return logged(t, f, event.ServerBack, draining.Name) }) {
		t.Fatal("it did not come back")
	}
}
