// Package harness starts a fleet for tests and the demo: real daemons and
// small backend servers as processes on loopback addresses, with a stand-in
// for the platform's store in the calling process.
//
// # Usage
//
//	programs, cleanUp, err := harness.Build()
//	defer cleanUp()
//	f, cleanUp, err := harness.Start(harness.Spec{
//		Programs: programs, DataCentres: []string{"csepel", "obuda"}, HostsEach: 1,
//		Services: []harness.Service{{Name: "lookup", Floor: 2, Servers: 4}},
//	})
//	defer cleanUp()
//	response, err := http.Get(f.URL(0, "lookup", "/search"))
//
// Each daemon has its own loopback address in 127.0.0.0/8, so that ports are
// fixed and fleets do not conflict.
package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/test/standin"
)

// The ports of a daemon and of a backend server.
const (
	portCallers      = 7400
	portPeers        = 7401
	portControl      = 7402
	portOperators    = 7403
	portReady        = 7404
	portPlatform     = 8500
	portBackend      = 9000
	portBackendProxy = 9300
	portMode         = 9600
)

// startTimeout bounds the start of a fleet.
const startTimeout = 30 * time.Second

// Spec describes the fleet to start.
type Spec struct {
	// Programs are the built programs.
	Programs Programs
	// DataCentres are the data centres' names.
	DataCentres []string
	// HostsEach is the number of hosts in each data centre.
	HostsEach int
	// Services are the services to declare. Their backend servers are placed on the hosts in turn.
	Services []Service
	// Proxied puts a fault-injecting proxy in front of each backend server, and
	// in front of each daemon for every other data centre.
	Proxied bool
	// Settings is YAML that is appended to each daemon's settings.
	Settings string
	// Descriptors is how many descriptors each daemon may open. If 0, it is as many as the test may.
	Descriptors int
	// Token is the operator token that the harness uses.
	Token string
	// Dir is the folder of the logs. If empty, it is the programs' folder.
	Dir string
}

// Service is a service to declare.
type Service struct {
	Name      string
	Floor     int
	Servers   int
	Slots     int
	Queue     int
	Deadline  time.Duration
	Detection string
	// Adoption is the adoption of the service in every data centre. If empty, it is steer.
	Adoption string
	// DataCentres are the data centres of its backend servers. If nil, all are used.
	DataCentres []string
	// Addresses are the addresses of backend servers that the test runs itself, in place of processes.
	Addresses []string
	// MaxBody bounds request bodies, in bytes. If 0, the default applies.
	MaxBody int
	// Idempotent lists the idempotent methods. If nil, the default applies.
	Idempotent []string
}

// Fleet is a running fleet.
type Fleet struct {
	Spec     Spec
	Platform *standin.Standin
	Daemons  []*Daemon
	Backends []*Backend
	Faults   *Faults

	net      network
	cleanUps []func()
}

// Start starts the fleet and waits until every daemon has the declaration in
// force. The returned function stops everything that was started.
func Start(spec Spec) (*Fleet, func(), error) {
	f := &Fleet{Spec: spec, Platform: standin.New()}
	faults, stopProxies := NewFaults()
	f.Faults = faults
	f.onCleanUp(stopProxies)
	if err := f.start(); err != nil {
		f.cleanUp()
		return nil, nil, err
	}
	return f, f.cleanUp, nil
}

func (f *Fleet) onCleanUp(cleanUp func()) { f.cleanUps = append(f.cleanUps, cleanUp) }

func (f *Fleet) cleanUp() {
	for i := len(f.cleanUps) - 1; i >= 0; i-- {
		f.cleanUps[i]()
	}
}

func (f *Fleet) start() error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	f.placeHosts()
	if err := f.startBackends(); err != nil {
		return err
	}
	if err := f.startProxies(); err != nil {
		return err
	}
	for _, d := range f.Daemons {
		if err := f.startDaemon(d); err != nil {
			return err
		}
		f.onCleanUp(d.Kill)
	}
	return f.declare()
}

func (f *Fleet) startPlatform() error {
	listener, err := f.claimNetwork()
	if err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	server := &http.Server{Handler: f.Platform.Handler(), ReadHeaderTimeout: startTimeout}
	go func() { _ = server.Serve(listener) }()
	f.onCleanUp(func() { _ = server.Close() })
	return nil
}

// claimNetwork chooses addresses that no other fleet on the machine uses, and returns the platform's
// listener. The addresses stay reserved while the listener is open, which is the lifetime of the fleet.
func (f *Fleet) claimNetwork() (net.Listener, error) {
	const tries = 100 // far more than the fleets that run concurrently on one machine
	var (
		listener net.Listener
		err      error
	)
	for range tries {
		f.net = newNetwork()
		listener, err = net.Listen("tcp", f.PlatformAddress())
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return listener, err
}

// PlatformAddress returns the IP:port of the platform's stand-in.
func (f *Fleet) PlatformAddress() string { return f.net.address(0, portPlatform) }

func (f *Fleet) placeHosts() {
	for i, dataCentre := range f.Spec.DataCentres {
		for j := range f.Spec.HostsEach {
			number := i*f.Spec.HostsEach + j + 1
			f.Daemons = append(f.Daemons, &Daemon{
				Name:       fmt.Sprintf("%s-%d", dataCentre, j+1),
				DataCentre: dataCentre,
				fleet:      f,
				number:     number,
			})
		}
	}
	next := 0
	for _, service := range f.Spec.Services {
		hosts := f.hostsOf(service)
		for n := range service.Servers {
			host := hosts[next%len(hosts)]
			f.Backends = append(f.Backends, &Backend{
				Name:         fmt.Sprintf("%s/%s-%d", host.DataCentre, service.Name, n+1),
				Service:      service,
				Host:         host,
				fleet:        f,
				number:       next,
				serviceIndex: n,
			})
			next++
		}
	}
}

// hostsOf returns the daemons on whose hosts the service's backend servers are placed.
func (f *Fleet) hostsOf(service Service) []*Daemon {
	if service.DataCentres == nil {
		return f.Daemons
	}
	var hosts []*Daemon
	for _, d := range f.Daemons {
		if slices.Contains(service.DataCentres, d.DataCentre) {
			hosts = append(hosts, d)
		}
	}
	return hosts
}

// declare applies the declaration and waits until it is in force at every daemon.
func (f *Fleet) declare() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := f.waitFor(ctx, func(s *operatorapi.Status) bool { return s.Daemon != "" }); err != nil {
		return err
	}
	if _, err := f.Apply(ctx, 0, f.Declaration(), 0, "start"); err != nil {
		return err
	}
	return f.WaitRevision(ctx, 1)
}

// Apply applies a declaration through the daemon of that number.
func (f *Fleet) Apply(ctx context.Context, daemon int, yaml string, base int64, changeID string) (*operatorapi.Declaration, error) {
	return f.Daemons[daemon].Client().ApplyDeclaration(ctx, &operatorapi.Change{
		Yaml:         yaml,
		ChangeID:     changeID,
		BaseRevision: base,
		Author:       operatorapi.NewOptString("harness"),
		Reason:       operatorapi.NewOptString(changeID),
	})
}

// WaitRevision waits until every daemon has that revision or a later one in force.
func (f *Fleet) WaitRevision(ctx context.Context, revision int64) error {
	return f.waitFor(ctx, func(s *operatorapi.Status) bool { return s.Revision >= revision })
}

func (f *Fleet) waitFor(ctx context.Context, done func(*operatorapi.Status) bool) error {
	for _, d := range f.Daemons {
		if err := d.waitFor(ctx, done); err != nil {
			return err
		}
	}
	return nil
}

// URL returns the URL of a service's path at the daemon of that number.
func (f *Fleet) URL(daemon int, service, path string) string {
	return "http://" + f.Daemons[daemon].CallersAddress() + "/" + service + path
}

// Declaration returns the fleet's declaration as YAML.
func (f *Fleet) Declaration() string {
	var b strings.Builder
	b.WriteString("hosts:\n")
	for _, d := range f.Daemons {
		fmt.Fprintf(&b, "  - name: %s\n    data-centre: %s\n    peers: %s\n    control: %s\n",
			d.Name, d.DataCentre, d.PeersAddress(), d.ControlAddress())
		f.writeProxies(&b, d)
	}
	b.WriteString("services:\n")
	for _, s := range f.Spec.Services {
		f.writeService(&b, s)
	}
	b.WriteString("routes:\n")
	for _, s := range f.Spec.Services {
		fmt.Fprintf(&b, "  - path: /%s\n    service: %s\n", s.Name, s.Name)
		if s.MaxBody > 0 {
			fmt.Fprintf(&b, "    max-body: %d\n", s.MaxBody)
		}
		if s.Idempotent != nil {
			fmt.Fprintf(&b, "    repeatable: [%s]\n", strings.Join(s.Idempotent, ", "))
		}
	}
	return b.String()
}

func (f *Fleet) writeProxies(b *strings.Builder, d *Daemon) {
	if !f.Spec.Proxied {
		return
	}
	b.WriteString("    seen-from:\n")
	for i, dataCentre := range f.Spec.DataCentres {
		if dataCentre == d.DataCentre {
			continue
		}
		fmt.Fprintf(b, "      - data-centre: %s\n        peers: %s\n        control: %s\n",
			dataCentre, d.peersFrom(i), d.controlFrom(i))
	}
}

func (f *Fleet) writeService(b *strings.Builder, s Service) {
	fmt.Fprintf(b, "  - name: %s\n    floor: %d\n", s.Name, s.Floor)
	if s.Deadline > 0 {
		fmt.Fprintf(b, "    deadline: %s\n", s.Deadline)
	}
	if s.Detection != "" {
		fmt.Fprintf(b, "    detection: %s\n", s.Detection)
	}
	if s.Adoption != "" {
		b.WriteString("    adoption:\n")
		for _, dataCentre := range f.Spec.DataCentres {
			fmt.Fprintf(b, "      %s: %s\n", dataCentre, s.Adoption)
		}
	}
	b.WriteString("    backend-servers:\n")
	for _, backend := range f.Backends {
		if backend.Service.Name != s.Name {
			continue
		}
		fmt.Fprintf(b, "      - name: %s\n        host: %s\n        address: %s\n", backend.Name, backend.Host.Name, backend.declaredAddress())
		if s.Slots > 0 {
			fmt.Fprintf(b, "        slots: %d\n", s.Slots)
		}
		if s.Queue > 0 {
			fmt.Fprintf(b, "        queue: %d\n", s.Queue)
		}
	}
}

// logName returns the path of a process's log file.
func (f *Fleet) logName(name string) string {
	dir := f.Spec.Dir
	if dir == "" {
		dir = f.Spec.Programs.Dir
	}
	own := fmt.Sprintf("%d-%d-%s.log", f.net.a, f.net.b, strings.ReplaceAll(name, "/", "_"))
	return filepath.Join(dir, own)
}

// logFile opens the log file of a process.
func (f *Fleet) logFile(name string) (*os.File, error) {
	return os.OpenFile(f.logName(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
}
