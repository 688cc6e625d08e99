package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/ingress"
	"github.com/tideliftd/tidelift/internal/route"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

// size is the size of a fleet.
type size struct {
	hosts, services, servers, routes int
}

// fullSize is the largest size that the design supports.
var fullSize = size{hosts: 4600, services: 1000, servers: 43_000, routes: 27_000}

func (s size) part(n int) size {
	return size{hosts: s.hosts / n, services: s.services / n, servers: s.servers / n, routes: s.routes / n}
}

// declaration returns a synthetic declaration of the size. The result is deterministic.
func (s size) declaration() string {
	const dataCentres = 15
	var b strings.Builder
	b.WriteString("hosts:\n")
	for i := range s.hosts {
		fmt.Fprintf(&b, "  - {name: h%d, data-centre: dc%d, peers: '10.%d.%d.%d:7401', control: '10.%d.%d.%d:7402'}\n",
			i, i%dataCentres, i>>16, i>>8&255, i&255, i>>16, i>>8&255, i&255)
	}
	b.WriteString("services:\n")
	each := s.servers / s.services
	for i := range s.services {
		fmt.Fprintf(&b, "  - name: s%d\n    floor: %d\n    deadline: 1500ms\n    backend-servers:\n", i, each*2/3)
		for j := range each {
			n := i*each + j
			fmt.Fprintf(&b, "      - {name: s%d/b%d, host: h%d, address: '10.%d.%d.%d:%d'}\n", i, j, n%s.hosts, n%s.hosts>>16, n%s.hosts>>8&255, n%s.hosts&255, 9000+n/s.hosts)
		}
	}
	b.WriteString("routes:\n")
	for i := range s.routes {
		fmt.Fprintf(&b, "  - {host: customer%d.example, path: /p%d, service: s%d}\n", i%(s.routes/3+1), i, i%s.services)
	}
	return b.String()
}

// loadFigures are the costs of loading a declaration in one daemon.
type loadFigures struct {
	size        size
	bytes       int
	parse       time.Duration
	apply       time.Duration // putting a changed declaration in force, without parsing
	heapMB      float64
	findRouteNs float64
	goroutines  int
}

func measureLoads() (string, error) {
	var b strings.Builder
	b.WriteString("| hosts | services | backend servers | routes | YAML | parse and check | put in force | heap | goroutines | find a route |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, part := range []int{8, 4, 2, 1} {
		f, err := measureLoad(fullSize.part(part))
		if err != nil {
			return "", err
		}
		row := fmt.Sprintf("| %d | %d | %d | %d | %.1f MB | %d ms | %d ms | %.0f MB | %d | %.0f ns |\n",
			f.size.hosts, f.size.services, f.size.servers, f.size.routes, float64(f.bytes)/(1<<20),
			f.parse.Milliseconds(), f.apply.Milliseconds(), f.heapMB, f.goroutines, f.findRouteNs)
		fmt.Print(row)
		b.WriteString(row)
	}
	return b.String(), nil
}

func measureLoad(s size) (loadFigures, error) {
	f := loadFigures{size: s}
	text := s.declaration()
	f.bytes = len(text)
	before := heap()
	began := time.Now()
	declaration, err := fleet.Parse("synthetic", []byte(text))
	if err != nil {
		return f, err
	}
	f.parse = time.Since(began)
	index := fleet.NewIndex(declaration)
	card, endSidecar := sidecar.New(sidecar.Config{Host: "h1", Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
	in, endIngress := ingress.New(ingress.Config{
		Host: "h1", DataCentre: "dc1", HeaderBytes: 32 << 10, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		Local: func(ctx context.Context, call hop.Call, r *http.Request) (sidecar.Answer, error) {
			return card.Do(ctx, call, r)
		},
	})
	defer endSidecar()
	defer endIngress()
	card.Reconfigure(index)
	in.Reconfigure(index)
	began = time.Now()
	card.Reconfigure(index)
	in.Reconfigure(index)
	f.apply = time.Since(began)
	f.goroutines = runtime.NumGoroutine()
	f.heapMB = heap() - before
	f.findRouteNs = findRoute(declaration)
	runtime.KeepAlive(text)
	return f, nil
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}

func findRoute(d fleet.Declaration) float64 {
	const times = 200_000
	table := route.NewTable(d.Routes)
	began := time.Now()
	for i := range times {
		r := d.Routes[i%len(d.Routes)]
		if _, ok := table.Find(r.Host, r.Path); !ok {
			panic("a declared route was not found")
		}
	}
	return float64(time.Since(began).Nanoseconds()) / times
}
