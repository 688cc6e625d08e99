// Command demo demonstrates tidelift. It starts real daemons on loopback
// addresses, stalls one backend server, and shows how the daemons eject it, why,
// and how they return it to service. It stops everything that it started.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync/atomic"
	"time"

	"github.com/tideliftd/tidelift/test/backendserver"
	"github.com/tideliftd/tidelift/test/harness"
)

const (
	rate             = 120
	workMillis       = "25"
	warmUpFor        = 3 * time.Second
	stallFor         = 4 * time.Second
	recoverFor       = 12 * time.Second
	unhealthyBackend = 0
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run() error {
	printStep("building the programs")
	programs, remove, err := harness.Build()
	if err != nil {
		return err
	}
	defer remove()
	f, cleanUp, err := harness.Start(harness.Spec{
		Programs:    programs,
		DataCentres: []string{"angyalfold", "csepel", "obuda"},
		HostsEach:   1,
		Services: []harness.Service{
			{Name: "lookup", Floor: 4, Servers: 6, Detection: "swift"},
			{Name: "records", Floor: 2, Servers: 3},
		},
	})
	if err != nil {
		return err
	}
	defer cleanUp()
	printStep("%d daemons and %d backend servers are running; callers send %d searches a second", len(f.Daemons), len(f.Backends), rate)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	callers := newCallers(f)
	go callers.run(ctx)
	return runScenario(f, programs, callers)
}

func runScenario(f *harness.Fleet, programs harness.Programs, callers *callers) error {
	unhealthy := f.Backends[unhealthyBackend]
	runCommand := func(arguments ...string) error { return runTidelift(programs, unhealthy.Host, arguments...) }
	time.Sleep(warmUpFor)
	if err := runCommand("show", "services"); err != nil {
		return err
	}
	callers.report()
	printStep("%s stalls: its health check still succeeds, but it answers no requests", unhealthy.Name)
	if err := unhealthy.SetMode(backendserver.Mode{Stall: 1}); err != nil {
		return err
	}
	time.Sleep(stallFor)
	if err := runCommand("show", "backend-servers", "lookup"); err != nil {
		return err
	}
	if err := runCommand("why", unhealthy.Name); err != nil {
		return err
	}
	callers.report()
	printStep("%s recovers; a few real requests have to confirm it", unhealthy.Name)
	if err := unhealthy.SetMode(backendserver.Mode{}); err != nil {
		return err
	}
	time.Sleep(recoverFor)
	if err := runCommand("show", "backend-servers", "lookup"); err != nil {
		return err
	}
	callers.report()
	printStep("done; stopping everything")
	return nil
}

func printStep(format string, args ...any) { fmt.Printf("\n# "+format+"\n", args...) }

// runTidelift runs the operators' command-line tool against a daemon.
func runTidelift(programs harness.Programs, d *harness.Daemon, arguments ...string) error {
	all := append([]string{"--daemon", "http://" + d.OperatorsAddress()}, arguments...)
	fmt.Printf("\n$ tidelift %v\n", arguments)
	command := exec.Command(programs.Path("tidelift"), all...)
	command.Stdout = os.Stdout
	command.Stderr = os.Stderr
	return command.Run()
}

// callers sends searches at a constant rate to each daemon in turn.
type callers struct {
	fleet    *harness.Fleet
	client   *http.Client
	answered atomic.Int64
	failed   atomic.Int64
}

func newCallers(f *harness.Fleet) *callers {
	return &callers{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: rate}}}
}

func (c *callers) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second / rate)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go c.search(ctx, n%len(c.fleet.Daemons))
		}
	}
}

func (c *callers) search(ctx context.Context, daemon int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.fleet.URL(daemon, "lookup", "/search"), nil)
	if err != nil {
		return
	}
	request.Header.Set(backendserver.HeaderWork, workMillis)
	response, err := c.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		c.answered.Add(1)
		return
	}
	c.failed.Add(1)
}

// report prints the results of the searches since the previous report.
func (c *callers) report() {
	printStep("searches since the previous report: %d answered, %d failed", c.answered.Swap(0), c.failed.Swap(0))
}
