package fleet_test

import (
	"strings"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
)

const validYAML = `hosts:
  - {name: csepel-1, data-centre: csepel, peers: '127.0.0.1:7401', control: '127.0.0.1:7402'}
services:
  - name: lookup
    floor: 1
    adoption: {csepel: observe}
    backend-servers:
      - {name: csepel/lookup-1, host: csepel-1, address: '127.0.0.1:9001'}
routes:
  - {path: /search, service: lookup}
`

func TestParseSetsDefaults(t *testing.T) {
	d, err := fleet.Parse("fleet.yaml", []byte(validYAML))
	if err != nil {
		t.Fatal(err)
	}
	s, r := d.Services[0], d.Routes[0]
	if s.Deadline != fleet.DefaultDeadline || s.Detection != fleet.DetectionCareful || s.BackendServers[0].Slots != fleet.DefaultSlots {
		t.Errorf("service %+v", s)
	}
	if r.Deadline != s.Deadline || strings.Join(r.Idempotent, " ") != "GET HEAD OPTIONS" {
		t.Errorf("route %+v", r)
	}
	if s.AdoptionIn("csepel") != fleet.AdoptionObserve || s.AdoptionIn("obuda") != fleet.AdoptionSteer {
		t.Errorf("adoption %v", s.Adoption)
	}
}

func TestIndex(t *testing.T) {
	d, err := fleet.Parse("fleet.yaml", []byte(validYAML))
	if err != nil {
		t.Fatal(err)
	}
	index := fleet.NewIndex(d)
	placement, ok := index.BackendServer("csepel/lookup-1")
	if !ok || placement.Service.Name != "lookup" || placement.Host.DataCentre != "csepel" {
		t.Fatalf("%+v, %t", placement, ok)
	}
	if own := index.OnHost("csepel-1"); len(own) != 1 || own[0].BackendServer.Name != "csepel/lookup-1" {
		t.Fatalf("%+v", own)
	}
}

// TestRoutesThatDifferInEncodingOverlap guards against two routes for the same requests, of which one is never used.
func TestRoutesThatDifferInEncodingOverlap(t *testing.T) {
	for path, overlaps := range map[string]bool{
		"/cafés":        false,
		"/café":         true,
		"/caf%C3%A9":    true,
		"/caf%C3%A9/":   true,
		"/caf%C3%A9/a":  false,
		"/caf%C3%A9%2F": false,
	} {
		_, err := fleet.Parse("fleet.yaml", []byte(validYAML+"  - {path: /café, service: lookup}\n  - {path: "+path+", service: lookup}\n"))
		if got := err != nil && strings.Contains(err.Error(), "overlaps another route"); got != overlaps {
			t.Errorf("%s: overlaps %t, want %t (%v)", path, got, overlaps, err)
		}
	}
}

// FuzzParse guards against input that makes Parse panic, or that it accepts with a floor
// or deadline out of range.
func FuzzParse(f *testing.F) {
	f.Add(validYAML)
	f.Add("hosts: [")
	f.Add("services: [{floor: -1}]")
	f.Add("{}")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := fleet.Parse("fuzz", []byte(text))
		if err != nil {
			_ = err.Error()
			return
		}
		for _, s := range d.Services {
			if s.Floor < 1 || s.Floor > len(s.BackendServers) || s.Deadline <= 0 || s.Deadline > 30*time.Second {
				t.Fatalf("accepted %+v", s)
			}
		}
	})
}

// TestCallersRetryAfter guards against an invalid format that is accepted, or refused without
// the valid ones in the error.
func TestCallersRetryAfter(t *testing.T) {
	_, err := fleet.Parse("fleet.yaml", []byte("callers: {retry-after: minutes}\n"+validYAML))
	if err == nil || !strings.Contains(err.Error(), "seconds or decimals") {
		t.Fatalf("got %v", err)
	}
}
