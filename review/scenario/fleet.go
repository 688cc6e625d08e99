package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/test/standin"
)

// The bounds of a small site.
const (
	drainTimeout = 2 * time.Second // drain-timeout-s
	touch        = 3 * time.Second // touch-s
	outer        = 5 * time.Second // outer-s
	configApply  = 2 * time.Second // config-apply-s
	grace        = 6 * time.Second // grace-period-s
	// margin is added to a bound before a request counts.
	margin = 200 * time.Millisecond
)

const (
	// startTimeout bounds the wait until a daemon is ready.
	startTimeout = 20 * time.Second
	// pollInterval is the interval between checks of a condition that is waited for.
	pollInterval = 10 * time.Millisecond
	// configKey is the store's key of the desired state.
	configKey = "op/config"
	// settingsTemplate is the template that the deploy file names.
	settingsTemplate = "deploy/settings.yaml"
	// program is the daemon that the deploy file builds and runs.
	program = "target/tideliftd"
)

// recorder writes the record of a run, with the time since its start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// at returns the moment as it is written into the record.
func (r *recorder) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.started).Seconds()) }

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record   *recorder
	dir      string // temporary
	store    *standin.Standin
	storeURL string
	// storeHandler serves the calls of the store.
	storeHandler http.Handler
	network      string // the first three octets of the machines' addresses
	template     string
	zones        []string // that the machines are spread over
	// takenPorts holds the addresses that freePort has returned.
	takenPorts map[string]bool
	machines   []*machine
	cleanUps   []func()
}

// newFleet returns a fleet with a store and without machines. The returned function ends what was started.
func newFleet(recordFile string) (*fleet, func(), error) {
	file, err := os.Create(recordFile) //nolint:gosec // whoever starts the case names the file
	if err != nil {
		return nil, nil, errors.Wrap(err, "create record")
	}
	f := &fleet{
		record:  &recorder{file: file, started: time.Now()},
		store:   standin.New(),
		zones:   []string{"njiro-hall"},
		network: fmt.Sprintf("127.%d.%d", 20+rand.N(200), 1+rand.N(250)),

		takenPorts: make(map[string]bool),
	}
	f.onCleanUp(func() { _ = file.Close() })
	if err := f.prepare(); err != nil {
		f.cleanUp()
		return nil, nil, err
	}
	return f, f.cleanUp, nil
}

func (f *fleet) prepare() error {
	data, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return errors.Wrap(err, "read template of the settings")
	}
	f.template = string(data)
	if _, err := os.Stat(program); err != nil {
		return errors.Wrap(err, "find the built daemon")
	}
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return errors.Wrap(err, "create temporary folder")
	}
	f.onCleanUp(func() { _ = os.RemoveAll(f.dir) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	f.storeHandler = f.store.Handler()
	server := &http.Server{Handler: http.HandlerFunc(f.serveStore), ReadHeaderTimeout: startTimeout}
	go func() { _ = server.Serve(listener) }()
	f.onCleanUp(func() { _ = server.Close() })
	f.storeURL = listener.Addr().String()
	return nil
}

func (f *fleet) serveStore(w http.ResponseWriter, r *http.Request) { f.storeHandler.ServeHTTP(w, r) }

func (f *fleet) onCleanUp(cleanUp func()) { f.cleanUps = append(f.cleanUps, cleanUp) }

func (f *fleet) cleanUp() {
	for i := len(f.cleanUps) - 1; i >= 0; i-- {
		f.cleanUps[i]()
	}
}

// writeConfig writes a desired state as the operator does.
func (f *fleet) writeConfig(text string) {
	f.store.Write(configKey, []byte(text))
	f.record.printf("operator: desired state %s", text)
}

// addMachines starts machines with an upstream each, which do not check in yet.
func (f *fleet) addMachines(service string, count int) ([]*upstream, error) {
	var upstreams []*upstream
	for n := range count {
		u, err := f.addMachineWithUpstream(service, fmt.Sprintf("i-%d", n+1))
		if err != nil {
			return nil, err
		}
		upstreams = append(upstreams, u)
	}
	return upstreams, nil
}

// addMachineWithUpstream starts a machine with an upstream, which does not check in yet.
func (f *fleet) addMachineWithUpstream(service, id string) (*upstream, error) {
	m, err := f.addMachine(service)
	if err != nil {
		return nil, err
	}
	return m.addUpstream(id)
}

// checkIn waits until the upstreams' machines are ready, and lets the upstreams check in until ctx ends.
func (f *fleet) checkIn(ctx context.Context, upstreams []*upstream) error {
	for _, u := range upstreams {
		if err := u.machine.waitReady(); err != nil {
			return err
		}
		go u.beat(ctx)
	}
	return nil
}

// machine is a machine with a daemon and an upstream.
type machine struct {
	fleet   *fleet
	name    string
	service string
	ip      string
	zone    string
	ports   [5]int // callers, peers, check-ins, ready and control
	admin   int    // port of the operator API
	cmd     *exec.Cmd
	ended   chan struct{}
	starts  int
}

// addMachine starts a machine's daemon. It does not wait until it is ready.
func (f *fleet) addMachine(service string) (*machine, error) {
	number := len(f.machines) + 1
	m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%d", number), service: service, ip: fmt.Sprintf("%s.%d", f.network, number), zone: f.zones[(number-1)%len(f.zones)]}
	for i := range m.ports {
		var err error
		if m.ports[i], err = f.freePort(m.ip); err != nil {
			return nil, err
		}
	}
	var err error
	if m.admin, err = f.freePort("127.0.0.1"); err != nil {
		return nil, err
	}
	f.machines = append(f.machines, m)
	f.onCleanUp(m.kill)
	return m, m.start()
}

// freePort returns a port that is free at the address and was not returned before. It is below the range from which the
// kernel takes the ports of connections and of listeners without one, so that it stays free.
func (f *fleet) freePort(ip string) (int, error) {
	const first, count, attempts = 10_000, 20_000, 100
	for range attempts {
		address := fmt.Sprintf("%s:%d", ip, first+rand.N(count))
		if f.takenPorts[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		f.takenPorts[address] = true
		return listener.Addr().(*net.TCPAddr).Port, nil
	}
	return 0, errors.Errorf("found no free port at %s", ip)
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
func (m *machine) outbound() string        { return m.address(m.ports[0]) }
func (m *machine) control() string         { return m.address(m.ports[2]) }
func (m *machine) ready() string           { return m.address(m.ports[3]) }

// gap is a gap of the template, as the deploy page describes it.
var gap = regexp.MustCompile(`\{\{([a-z.0-9-]+)(\|json)?\}\}`)

// settings fills the project's template with the values of a small deployment.
func (m *machine) settings() string {
	values := map[string]any{
		"node": m.name, "zone": m.zone, "service": m.service, "bootstrap": m.starts == 0, "ip": m.ip,
		"listen.outbound": m.outbound(), "listen.inbound": m.address(m.ports[1]), "listen.control": m.control(), "listen.ready": m.ready(),
		"port-range.0": m.ports[4], "port-range.1": m.admin, "platform.address": m.fleet.storeURL,
		"bounds.floor-share": 0.7, "bounds.retry-budget-ratio": 0.2, "bounds.budget-slack": 60, "bounds.budget-window-s": 10,
		"bounds.grace-period-s": 6, "limits.memory-mb": 284, "limits.cores": 1,
	}
	return gap.ReplaceAllStringFunc(m.fleet.template, func(text string) string {
		parts := gap.FindStringSubmatch(text)
		value, ok := values[parts[1]]
		if !ok {
			return text
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		data, _ := json.Marshal(value) // strings, numbers and flags always encode
		return string(data)
	})
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() error {
	file := filepath.Join(m.fleet.dir, m.name+".yaml")
	const readable = 0o600
	if err := os.WriteFile(file, []byte(m.settings()), readable); err != nil { //nolint:gosec // in the temporary folder
		return errors.Wrap(err, "write settings")
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, readable) //nolint:gosec // in the temporary folder
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "--settings", file) //nolint:gosec // the program of the deploy file
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	m.cmd, m.ended = cmd, ended
	m.starts++
	m.fleet.record.printf("%s: start %d, process %d", m.name, m.starts, cmd.Process.Pid)
	return nil
}

// kill kills the daemon, as SIGKILL of the platform does, and waits until it has ended.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	<-m.ended
}

// waitReady waits until the platform's readiness check succeeds.
func (m *machine) waitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		response, err := http.Get("http://" + m.ready() + "/ready") //nolint:gosec // an address of this program's daemons
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			m.fleet.record.printf("%s: ready", m.name)
			return nil
		}
	}
	log, _ := os.ReadFile(filepath.Join(m.fleet.dir, m.name+".log")) //nolint:gosec // in the temporary folder
	return errors.Errorf("%s is not ready:\n%s", m.name, lastLines(string(log)))
}

// lastLines returns the end of a log.
func lastLines(log string) string {
	const count = 20
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}
