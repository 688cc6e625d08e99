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

// sendUntil sends 100 requests per second until done reports true, and reports whether it did in time.
func sendUntil(f *harness.Fleet, done func() bool) bool {
	var wg sync.WaitGroup
	defer wg.Wait()
	end := time.Now().Add(waitTimeout)
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

// hasLogged reports whether the log of any daemon contains the event for the backend server.
func hasLogged(t *testing.T, f *harness.Fleet, e event.Event, backendServer string) bool {
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

// warmUp sends requests until the observers have a latency baseline.
func warmUp(f *harness.Fleet) {
	end := time.Now().Add(2 * time.Second)
	sendUntil(f, func() bool { return time.Now().After(end) })
}

// stallFirstBackend establishes a baseline and then stalls the first backend server.
func stallFirstBackend(t *testing.T, f *harness.Fleet) *harness.Backend {
	t.Helper()
	warmUp(f)
	unhealthy := f.Backends[0]
	if err := unhealthy.SetMode(backendserver.Mode{Stall: 1}); err != nil {
		t.Fatal(err)
	}
	return unhealthy
}

func TestStalledBackendServerIsEjectedAndComesBack(t *testing.T) {
	f := start(t, lookup(""))
	unhealthy := stallFirstBackend(t, f)
	if !sendUntil(f, func() bool { return hasLogged(t, f, event.ServerEjected, unhealthy.Name) }) {
		t.Fatal("stalled backend server was not ejected")
	}
	if err := unhealthy.SetMode(backendserver.Mode{}); err != nil {
		t.Fatal(err)
	}
	if !sendUntil(f, func() bool { return hasLogged(t, f, event.ServerReturned, unhealthy.Name) }) {
		t.Fatal("recovered backend server was not returned to service")
	}
}

func TestObserveModeChangesNothing(t *testing.T) {
	f := start(t, lookup("observe"))
	unhealthy := stallFirstBackend(t, f)
	if !sendUntil(f, func() bool { return hasLogged(t, f, event.FloorHeld, unhealthy.Name) }) {
		t.Fatal("observe mode did not report the stalled backend server")
	}
	if hasLogged(t, f, event.ServerEjected, unhealthy.Name) || hasLogged(t, f, event.ServerAvoided, unhealthy.Name) {
		t.Fatal("observe mode ejected or avoided the backend server")
	}
}

func TestMetricsCountEachReason(t *testing.T) {
	f := start(t, lookup(""))
	get(t, "http://"+f.Daemons[0].CallersAddress()+"/unknown")
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		response, err := http.Get("http://" + f.Daemons[0].OperatorsAddress() + "/metrics")
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
	t.Fatal("refused request was not counted in the metrics")
}

// TestObserveModeEndsEjection guards against an ejection that outlasts the change of its service to
// observe mode.
func TestObserveModeEndsEjection(t *testing.T) {
	f := start(t, lookup(""))
	unhealthy := stallFirstBackend(t, f)
	if !sendUntil(f, func() bool { return hasLogged(t, f, event.ServerEjected, unhealthy.Name) }) {
		t.Fatal("stalled backend server was not ejected")
	}
	f.Spec.Services[0].Adoption = "observe"
	if _, err := f.Apply(context.Background(), 0, f.Declaration(), 1, "observe"); err != nil {
		t.Fatal(err)
	}
	if !sendUntil(f, func() bool { return hasLogged(t, f, event.ServerReturned, unhealthy.Name) }) {
		t.Fatal("backend server stayed ejected in observe mode")
	}
}

// TestDrainingHeaderStopsTraffic guards against requests to a backend server that has announced its draining
// in a response header.
func TestDrainingHeaderStopsTraffic(t *testing.T) {
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
	if !sendUntil(f, func() bool { return draining.Load() > 0 }) {
		t.Fatal("draining backend server received no request")
	}
	time.Sleep(100 * time.Millisecond) // until requests in flight have arrived
	before := draining.Load()
	for range 50 {
		if response, _ := get(t, f.URL(0, "lookup", "/x")); response.StatusCode != http.StatusOK {
			t.Fatalf("got status %d, want 200", response.StatusCode)
		}
	}
	if draining.Load() != before || other.Load() < 50 {
		t.Fatalf("draining backend server received %d more requests, the other one %d", draining.Load()-before, other.Load())
	}
}

// TestPlatformListOfDrainingHosts adds a host to the platform's list of draining hosts and removes it again.
func TestPlatformListOfDrainingHosts(t *testing.T) {
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
	if !sendUntil(f, func() bool { return hasLogged(t, f, event.ServerDraining, draining.Name) }) {
		t.Fatal("backend server of a listed host was not drained")
	}
	list("[]")
	if !sendUntil(f, func() bool { return hasLogged(t, f, event.ServerBack, draining.Name) }) {
		t.Fatal("backend server was not returned to service after its host left the list")
	}
}
