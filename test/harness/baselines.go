package harness

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// portBaseline is the port of the first baseline.
const portBaseline = 7200

// Baseline is a plain proxy with one of the usual ways to set backend servers
// ejected.
type Baseline struct {
	process
	Policy  string
	address string
}

// StartBaselines starts one proxy for each policy before the service's backend
// servers.
func (f *Fleet) StartBaselines(service string, policies ...string) ([]*Baseline, func(), error) {
	var pairs []string
	for _, b := range f.Backends {
		if b.Service.Name == service {
			pairs = append(pairs, b.Name+"="+b.declared())
		}
	}
	var started []*Baseline
	cleanUp := func() {
		for _, b := range started {
			b.Kill()
		}
	}
	for i, policy := range policies {
		b := &Baseline{Policy: policy, address: f.net.address(0, portBaseline+i)}
		err := b.start(f, "baseline-"+policy, "baseline", "-listen", b.address, "-policy", policy, "-backends", strings.Join(pairs, ","))
		if err == nil {
			err = WaitListening(b.address)
		}
		if err != nil {
			cleanUp()
			return nil, nil, err
		}
		started = append(started, b)
	}
	return started, cleanUp, nil
}

// URL returns the address of the path.
func (b *Baseline) URL(path string) string { return "http://" + b.address + path }

// Ejected returns how often each backend server was ejected.
func (b *Baseline) Ejected() (map[string]int, error) {
	ejected := make(map[string]int)
	response, err := http.Get(b.URL("/-/ejected"))
	if err != nil {
		return nil, errors.Wrapf(err, "ask baseline %s", b.Policy)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&ejected); err != nil {
		return nil, errors.Wrap(err, "decode ejections")
	}
	return ejected, nil
}
