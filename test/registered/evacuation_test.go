package registered

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/platform"
)

// newSpreadFleet starts daemons that are spread over that many data centres.
func newSpreadFleet(t *testing.T, count, dataCentres int) *fleet {
	t.Helper()
	f := newStore(t)
	f.dataCentres = dataCentres
	f.startHosts(count)
	for _, h := range f.hosts {
		f.waitUntil(h.daemonName()+" to know every backend server", func() bool { return h.known() == count })
	}
	return f
}

// known returns how many backend servers the host's daemon knows.
func (h *host) known() int {
	response, err := http.Get("http://" + h.ip() + ":1006/v1/backend-servers")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var servers []struct{}
	if err := json.NewDecoder(response.Body).Decode(&servers); err != nil {
		return 0
	}
	return len(servers)
}

// evacuated is the number of the data centre that is evacuated.
const evacuated = 1

// servedInEvacuated returns how many requests the backend servers of the evacuated data centre have served.
func (f *fleet) servedInEvacuated() int64 {
	served := int64(0)
	for _, h := range f.hosts {
		if h.number%f.dataCentres == evacuated {
			served += h.served.Load()
		}
	}
	return served
}

// requestEverywhere sends requests to every daemon and fails the test if one is not answered.
func (f *fleet) requestEverywhere(what string, rounds int) {
	f.t.Helper()
	for range rounds {
		for _, h := range f.hosts {
			for _, path := range []string{"/twice/x", "/once/x"} {
				if status, body := h.get(path); status != http.StatusOK {
					f.t.Fatalf("%s: %s at %s got status %d, body %q", what, path, h.daemonName(), status, body)
				}
			}
		}
	}
}

// TestEvacuatedDataCentreGetsNoRequests guards against requests to an evacuated data centre, also from daemons
// that the store turns away, and against failures when an evacuation begins or ends.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	f := newSpreadFleet(t, 6, 3)
	f.store.Write(platform.EvacuationPrefix+"dc1", []byte("{}"))
	f.requestEverywhere("while the evacuation begins", 10)
	f.waitUntil("the evacuation to be in force", func() bool {
		before := f.servedInEvacuated()
		f.requestEverywhere("while the evacuation begins", 2)
		return f.servedInEvacuated() == before
	})
	for _, h := range f.hosts {
		if !h.log.contains(`"evacuated":"dc1"`) {
			t.Fatalf("%s has not applied the evacuation", h.daemonName())
		}
	}
	f.store.SetOutage(true)
	restarted := f.hosts[0]
	restarted.end()
	restarted.start()
	restarted.waitReady()
	f.waitUntil("the restarted daemon to hear of the evacuation", func() bool { return restarted.log.count(`"evacuated":"dc1"`) > 1 })
	before := f.servedInEvacuated()
	f.requestEverywhere("during the evacuation", 10)
	if served := f.servedInEvacuated() - before; served > 0 {
		t.Fatalf("%d requests reached an evacuated data centre", served)
	}
	f.store.SetOutage(false)
	f.store.Remove(platform.EvacuationPrefix + "dc1")
	f.waitUntil("the data centre to receive requests again", func() bool {
		f.requestEverywhere("while the evacuation ends", 2)
		return f.servedInEvacuated() > before
	})
}

// TestRequestsAreRefusedAtOnceWhenAllIsEvacuated guards against callers that wait for a backend
// server although the operators have evacuated all of them.
func TestRequestsAreRefusedAtOnceWhenAllIsEvacuated(t *testing.T) {
	f := newFleet(t, 2)
	f.store.Write(platform.EvacuationPrefix+"dc0", []byte("{}"))
	f.waitUntil("the evacuation to be in force", func() bool {
		return f.hosts[0].log.contains(`"evacuated":"dc0"`) && f.hosts[1].log.contains(`"evacuated":"dc0"`)
	})
	began := time.Now()
	const requests = 10
	for range requests {
		if status, body := f.hosts[0].get("/once/x"); status != http.StatusServiceUnavailable {
			t.Fatalf("got status %d, body %q; want a refusal", status, body)
		}
	}
	if took := time.Since(began); took > requests*100*time.Millisecond {
		t.Fatalf("%d refusals took %s", requests, took)
	}
}
