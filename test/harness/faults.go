package harness

import (
	"context"
	"fmt"
	"strings"
	"sync"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Direction is the direction of data through a proxy.
type Direction string

// The directions.
const (
	// Requests is the direction towards the server.
	Requests Direction = "upstream"
	// Responses is the direction back from the server.
	Responses Direction = "downstream"
)

// Faults controls the fault-injecting proxies of a fleet. A link is the name of a proxy.
type Faults struct {
	server *toxiproxy.ApiServer

	mu      sync.Mutex
	proxies map[string]*toxiproxy.Proxy
}

// NewFaults returns Faults without proxies, and a function that stops those that were added.
func NewFaults() (*Faults, func()) {
	metrics := toxiproxy.NewMetricsContainer(prometheus.NewRegistry())
	x := &Faults{
		server:  toxiproxy.NewServer(metrics, zerolog.Nop()),
		proxies: make(map[string]*toxiproxy.Proxy),
	}
	return x, x.close
}

// Add starts the proxy of a link, which listens at one address and connects to the other.
func (x *Faults) Add(name, listen, upstream string) error {
	proxy := toxiproxy.NewProxy(x.server, name, listen, upstream)
	if err := proxy.Start(); err != nil {
		return errors.Wrapf(err, "start proxy %s", name)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.proxies[name] = proxy
	return nil
}

func (x *Faults) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, proxy := range x.proxies {
		proxy.Stop()
	}
}

// BackendLink returns the name of the proxy in front of a backend server.
func BackendLink(backend string) string { return "work " + backend }

// PeerLink returns the name of the proxy in front of a daemon for requests from a data centre.
func PeerLink(dataCentre, daemon string) string { return "peers " + dataCentre + " " + daemon }

// ControlLink returns the name of the proxy in front of a daemon for control calls from a
// data centre.
func ControlLink(dataCentre, daemon string) string { return "control " + dataCentre + " " + daemon }

// Cut drops all further data in that direction. Connections stay open.
func (x *Faults) Cut(link string, direction Direction) error {
	return x.toxic(link, fmt.Sprintf(`{"name":"cut-%s","type":"timeout","stream":"%s","attributes":{"timeout":0}}`, direction, direction))
}

// Delay delays data in that direction by the given number of milliseconds.
func (x *Faults) Delay(link string, direction Direction, millis int) error {
	return x.toxic(link, fmt.Sprintf(`{"name":"delay-%s","type":"latency","stream":"%s","attributes":{"latency":%d}}`, direction, direction, millis))
}

// LimitData closes each connection after the given number of bytes in that direction.
func (x *Faults) LimitData(link string, direction Direction, bytes int) error {
	return x.toxic(link, fmt.Sprintf(`{"name":"limit-%s","type":"limit_data","stream":"%s","attributes":{"bytes":%d}}`, direction, direction, bytes))
}

// Close closes the link's connections and refuses new ones.
func (x *Faults) Close(link string) {
	if proxy, err := x.proxy(link); err == nil {
		proxy.Stop()
	}
}

// Open accepts connections again after Close.
func (x *Faults) Open(link string) error {
	proxy, err := x.proxy(link)
	if err != nil {
		return err
	}
	if err := proxy.Start(); err != nil {
		return errors.Wrapf(err, "open %s", link)
	}
	return nil
}

// Heal removes all faults from the link.
func (x *Faults) Heal(link string) error {
	proxy, err := x.proxy(link)
	if err != nil {
		return err
	}
	proxy.Toxics.ResetToxics(context.Background())
	return nil
}

func (x *Faults) toxic(link, json string) error {
	proxy, err := x.proxy(link)
	if err != nil {
		return err
	}
	if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(json)); err != nil {
		return errors.Wrapf(err, "add fault to %s", link)
	}
	return nil
}

func (x *Faults) proxy(link string) (*toxiproxy.Proxy, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	proxy, ok := x.proxies[link]
	if !ok {
		return nil, errors.Errorf("no link %q", link)
	}
	return proxy, nil
}

// startProxies starts a proxy for each link if Spec.Proxied is set.
func (f *Fleet) startProxies() error {
	if !f.Spec.Proxied {
		return nil
	}
	for _, b := range f.Backends {
		if err := f.Faults.Add(BackendLink(b.Name), b.proxyAddress(), b.Address()); err != nil {
			return err
		}
	}
	for _, d := range f.Daemons {
		if err := f.startPeerProxies(d); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startPeerProxies(d *Daemon) error {
	for i, dataCentre := range f.Spec.DataCentres {
		if dataCentre == d.DataCentre {
			continue
		}
		if err := f.Faults.Add(PeerLink(dataCentre, d.Name), d.peersFrom(i), d.PeersAddress()); err != nil {
			return err
		}
		if err := f.Faults.Add(ControlLink(dataCentre, d.Name), d.controlFrom(i), d.ControlAddress()); err != nil {
			return err
		}
	}
	return nil
}
