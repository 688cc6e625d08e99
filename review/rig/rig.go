// Package rig starts a small deployment for the scripts of a review: daemons with the settings of the deploy file, a
// stand-in for the platform's store, and upstreams as processes of their own, all on loopback addresses.
//
// # Usage
//
//	r, err := rig.New(rig.Config{Hosts: 2, Record: "record.txt"})
//	defer r.End()
//	r.WriteDesired(rig.Desired(1))
//	err = r.Start()
//	answer := r.Hosts[0].Send(rig.Request{Method: "GET", Path: "/idem/a"})
package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tideliftd/tidelift/test/standin"
)

// Exit codes of a script.
const (
	ExitHeld     = 0 // the rule held
	ExitBroken   = 1 // the rule was broken
	ExitNotShown = 2 // the case could not run
)

const (
	// timeLimit bounds a script.
	timeLimit = 115 * time.Second
	// startTimeout bounds the start of the deployment.
	startTimeout = 20 * time.Second
	// pollInterval is the interval of checks while something is waited for.
	pollInterval = 20 * time.Millisecond
	// filePermission lets only the owner read what a script writes.
	filePermission = 0o600
)

// Config configures a Rig.
type Config struct {
	// Hosts is the number of hosts, each with a daemon and an upstream.
	Hosts int
	// Services are the services of the hosts' upstreams, in the order of the hosts; lookup for those beyond.
	Services []string
	// Capacity is the capacity of each upstream.
	Capacity int
	// Garbling is how many of the upstreams send one in GarbleEach answers in the way that Garble names; see the
	// stand-in.
	Garbling, GarbleEach int
	Garble               string
	// Daemon and Upstream are the programs.
	Daemon, Upstream string
	// Record is the file that takes what was sent, answered and run.
	Record string
}

// Rig is a running deployment.
type Rig struct {
	Hosts []*Host
	Store *standin.Standin

	config   Config
	folder   string
	record   *os.File
	storeURL string
	server   *http.Server
	ids      atomic.Int64

	mu   sync.Mutex
	runs map[string][]string // the upstreams that ran a request, by its id
}

// Host is a host with its daemon and its upstream.
type Host struct {
	Name, Callers, CheckIns, UpstreamAddress string
	// UpstreamID is the id of the upstream's latest lifetime.
	UpstreamID string

	rig        *Rig
	ready      string
	service    string
	settings   string
	garbleEach int

	mu       sync.Mutex
	daemon   *exec.Cmd
	upstream *exec.Cmd
	lives    int
}

// New returns a deployment that has not been started.
func New(config Config) (*Rig, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(config.Record)
	if err != nil {
		return nil, err
	}
	r := &Rig{config: config, Store: standin.New(), folder: folder, record: record, runs: make(map[string][]string)}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.storeURL = "http://" + socket.Addr().String()
	r.server = &http.Server{Handler: r.Store.Handler(), ReadHeaderTimeout: startTimeout}
	go func() { _ = r.server.Serve(socket) }()
	go r.endEarly()
	return r, r.addHosts()
}

// endEarly ends all processes of the rig and the script if it is told to stop or takes too long.
func (r *Rig) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	r.End()
	os.Exit(ExitNotShown)
}

// Log writes a line to the record.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, time.Now().Format("15:04:05.000")+" "+format+"\n", args...)
}

// addHosts adds the hosts, each with an address of its own and the same free ports on all.
func (r *Rig) addHosts() error {
	const ports = 7
	first, err := freePorts(r.config.Hosts, ports)
	if err != nil {
		return err
	}
	for n := range r.config.Hosts {
		address := func(port int) string { return fmt.Sprintf("%s:%d", hostIP(n), first+port) }
		h := &Host{
			Name: fmt.Sprintf("sidecar-hall-%d", n+1), Callers: address(0), CheckIns: address(2), ready: address(3),
			UpstreamAddress: address(6), rig: r, service: "lookup",
		}
		if n < len(r.config.Services) {
			h.service = r.config.Services[n]
		}
		if n < r.config.Garbling {
			h.garbleEach = r.config.GarbleEach
		}
		h.settings = filepath.Join(r.folder, h.Name+".yaml")
		text := fmt.Sprintf(settings, h.Name, h.service, h.Callers, address(1), h.CheckIns, h.ready, address(4), address(5), r.storeURL)
		if err := os.WriteFile(h.settings, []byte(text), filePermission); err != nil {
			return err
		}
		r.Hosts = append(r.Hosts, h)
	}
	return nil
}

// hostIP returns a loopback address that no script that runs at the same time uses.
func hostIP(n int) string {
	const seconds, thirds = 200, 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid%seconds, 1+pid/seconds%thirds, n+1)
}

// freePorts returns the first of some ports in a row that are free at the addresses of all hosts.
func freePorts(hosts, ports int) (int, error) {
	const lowest, highest = 20000, 30000
	for first := lowest + os.Getpid()%(highest-lowest); first < highest+lowest; first += ports {
		if allFree(hosts, first, ports) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", ports)
}

func allFree(hosts, first, ports int) bool {
	for n := range hosts {
		for port := first; port < first+ports; port++ {
			socket, err := net.Listen("tcp", fmt.Sprintf("%s:%d", hostIP(n), port))
			if err != nil {
				return false
			}
			_ = socket.Close()
		}
	}
	return true
}

// settings is deploy/settings.yaml, filled in as for a small deployment.
const settings = `name: %q
data-centre: "hall"
service: %q
first-start: true
listen:
  callers: %q
  peers: %q
  check-ins: %q
  ready: %q
  control: %q
  operators: %q
platform:
  address: %q
keys:
  trusted-network: true
source:
  declared: platform
  floor-share: 0.7
  retry-share: 0.2
  retry-slack: 56
  retry-window: 10s
long-requests:
  latency-target: 750ms
  pipelined: 8
limits:
  stop: 6s
  unready: 2200ms
  idle-timeout: 10m
  memory-mb: 284
processors: 1
heap-growth: 100
`

// Desired returns a desired state with an idempotent and a non-idempotent route, to which others may be added.
func Desired(version int) map[string]any {
	route := func(name, path, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path-prefix": path, "route-type": kind, "timeout-s": 10, "target-latency-s": 2,
			"priority": 1, "service": "lookup", "attempts": 2, "public": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("r-search", "/idem/", "idempotent"), route("r-hold", "/once/", "non_idempotent")},
		"services": []any{map[string]any{"name": "lookup", "health-path": "/healthz", "max-connections": 330, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
	}
}

// AddRoute adds an idempotent route to another service, and the service.
func AddRoute(desired map[string]any, path, service string) {
	route := map[string]any{
		"name": "r-" + service, "host": "a.example", "path-prefix": path, "route-type": "idempotent", "timeout-s": 10, "target-latency-s": 2,
		"priority": 1, "service": service, "attempts": 2, "public": false,
	}
	desired["routes"] = append(desired["routes"].([]any), route)
	declared := map[string]any{"name": service, "health-path": "/healthz", "max-connections": 330, "protocol": "h1", "tls": false}
	desired["services"] = append(desired["services"].([]any), declared)
}

// WriteDesired writes the desired state to the store, as the operator does.
func (r *Rig) WriteDesired(desired map[string]any) error {
	text, err := json.Marshal(desired)
	if err != nil {
		return err
	}
	r.Store.Write("op/config", text)
	r.Log("operator: the store confirms %s", text)
	return nil
}

// Start starts all daemons and upstreams, and waits until every daemon is ready and knows every upstream.
func (r *Rig) Start() error {
	for _, h := range r.Hosts {
		if err := h.startDaemon(); err != nil {
			return err
		}
	}
	for _, h := range r.Hosts {
		if err := h.StartUpstream(); err != nil {
			return err
		}
	}
	end := time.Now().Add(startTimeout)
	for _, h := range r.Hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", h.Name)
			}
			time.Sleep(pollInterval)
		}
	}
	time.Sleep(2 * time.Second) // the daemons learn of each other's upstreams
	return nil
}

func (h *Host) isReady() bool {
	response, err := http.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *Host) startDaemon() error {
	log, err := os.Create(filepath.Join(h.rig.folder, h.Name+".log"))
	if err != nil {
		return err
	}
	command := exec.Command(h.rig.config.Daemon, "--settings", h.settings) //nolint:gosec // the program of the deploy file
	command.Stdout, command.Stderr = log, log
	h.mu.Lock()
	defer h.mu.Unlock()
	h.daemon = command
	return command.Start()
}

// StartUpstream starts the next lifetime of the host's upstream, which checks in by itself.
func (h *Host) StartUpstream() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lives++
	h.UpstreamID = fmt.Sprintf("i-%s-%d", strings.TrimPrefix(h.Name, "sidecar-"), h.lives)
	//nolint:gosec // a stand-in of the review
	command := exec.Command(h.rig.config.Upstream, h.UpstreamAddress, h.UpstreamID, h.service, h.CheckIns, strconv.Itoa(h.rig.config.Capacity),
		h.rig.config.Garble, strconv.Itoa(h.garbleEach))
	out, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	h.upstream = command
	go h.rig.follow(h.UpstreamID, out)
	return command.Start()
}

// follow records what an upstream says of its runs.
func (r *Rig) follow(upstream string, out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		r.Log("%s: %s", upstream, lines.Text())
		if id, ok := strings.CutPrefix(lines.Text(), "runs "); ok {
			id, _, _ = strings.Cut(id, " ")
			r.mu.Lock()
			r.runs[id] = append(r.runs[id], upstream)
			r.mu.Unlock()
		}
	}
}

// Runs returns the upstreams that ran the request.
func (r *Rig) Runs(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs[id])
}

// KillUpstream crashes the host's upstream.
func (h *Host) KillUpstream() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rig.Log("the upstream of %s crashes", h.Name)
	end(h.upstream)
}

// StopDaemon sends the host's daemon SIGTERM.
func (h *Host) StopDaemon() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rig.Log("the daemon of %s gets SIGTERM", h.Name)
	return h.daemon.Process.Signal(syscall.SIGTERM)
}

// end kills a process that the rig started, and waits for its end.
func end(command *exec.Cmd) {
	if command == nil || command.Process == nil || command.ProcessState != nil {
		return
	}
	_ = command.Process.Kill()
	_ = command.Wait()
}

// End ends all processes of the rig.
func (r *Rig) End() {
	for _, h := range r.Hosts {
		h.mu.Lock()
		end(h.daemon)
		end(h.upstream)
		h.mu.Unlock()
	}
	_ = r.server.Close()
	_ = os.RemoveAll(r.folder)
	_ = r.record.Close()
}

// NextID returns a new request id.
func (r *Rig) NextID() string { return fmt.Sprintf("q%06d", r.ids.Add(1)) }
