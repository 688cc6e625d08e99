// Package hops measures the overhead of two daemons on a request, compared with two bare hops: reverse
// proxies that only forward.
//
// The daemons and the backend server are started by test/harness. Each bare hop is a separate process of
// the test binary.
//
// # Usage
//
//	go test ./test/hops -run '^$' -bench Hops -benchtime 20000x -count=6
package hops

import (
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/test/harness"
)

const (
	// envTarget is the environment variable with the address that a bare hop forwards to. The test
	// binary runs as a bare hop if it is set.
	envTarget = "BARE_HOP_TARGET"
	// envListen is the environment variable with the address that a bare hop listens on.
	envListen = "BARE_HOP_LISTEN"
	// processors is the GOMAXPROCS of a bare hop, the same as a daemon's default.
	processors = 2
	// startTimeout bounds the start of a bare hop.
	startTimeout = 10 * time.Second
)

func TestMain(m *testing.M) {
	if target := os.Getenv(envTarget); target != "" {
		serveBareHop(os.Getenv(envListen), target)
	}
	os.Exit(m.Run())
}

// serveBareHop forwards all requests to one address, as the baseline of a hop with net/http.
func serveBareHop(listen, target string) {
	runtime.GOMAXPROCS(processors)
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1024}
	forward := func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", target, ""
		response, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}
	log.Fatal((&http.Server{Addr: listen, Handler: http.HandlerFunc(forward), ReadHeaderTimeout: startTimeout}).ListenAndServe())
}

// path is a route to the backend server.
type path struct {
	name string
	url  string
	pids []int // processes of the hops
}

// BenchmarkHops sends sequential requests on a kept connection to a backend server that responds immediately:
// directly, over two bare hops and over two daemons. For each path it reports the median and the 99th percentile
// of the latency, and the hops' processor time per request.
func BenchmarkHops(b *testing.B) {
	programs, remove, err := harness.Build()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(remove)
	f, cleanUp, err := harness.Start(harness.Spec{
		Programs:    programs,
		DataCentres: []string{"csepel", "obuda"},
		HostsEach:   1,
		Services: []harness.Service{
			{Name: "records", Floor: 1, Servers: 1},
			{Name: "lookup", Floor: 1, Servers: 1, Slots: 200, Queue: 200}, // at the second daemon
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cleanUp)
	work := f.Backends[1].Address()
	second, secondPid := startBareHop(b, work)
	first, firstPid := startBareHop(b, second)
	for _, w := range []path{
		{name: "direct", url: "http://" + work + "/lookup/x"},
		{name: "bare", url: "http://" + first + "/lookup/x", pids: []int{firstPid, secondPid}},
		{name: "daemons", url: f.URL(0, "lookup", "/x"), pids: []int{f.Daemons[0].Pid(), f.Daemons[1].Pid()}},
	} {
		b.Run(w.name, w.measure)
	}
}

// startBareHop starts a bare hop on a free port and returns its address and process id.
func startBareHop(b *testing.B, target string) (address string, pid int) {
	b.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address = free.Addr().String()
	_ = free.Close()
	hop := exec.Command(os.Args[0])
	hop.Env = append(os.Environ(), envTarget+"="+target, envListen+"="+address)
	hop.Stderr = os.Stderr
	if err := hop.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = hop.Process.Kill()
		_ = hop.Wait()
	})
	if err := harness.WaitListening(address); err != nil {
		b.Fatal(err)
	}
	return address, hop.Process.Pid
}

func (w path) measure(b *testing.B) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for range 500 { // warm up connections and caches
		if err := get(client, w.url); err != nil {
			b.Fatal(err)
		}
	}
	latencies := make([]time.Duration, 0, b.N)
	before, err := harness.ProcessorTimes(w.pids)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		began := time.Now()
		if err := get(client, w.url); err != nil {
			b.Fatal(err)
		}
		latencies = append(latencies, time.Since(began))
	}
	after, err := harness.ProcessorTimes(w.pids)
	if err != nil {
		b.Fatal(err)
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64((after-before).Microseconds())/float64(len(latencies)), "hops-cpu-us/op")
}

// get sends one request and reads the response.
func get(client *http.Client, url string) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s returned status %d", url, response.StatusCode)
	}
	return nil
}
