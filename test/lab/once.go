package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/tideliftd/tidelift/test/harness"
)

const (
	onceRequests = 20_000
	onceRate     = 800
	onceDeadline = time.Second
	// freezeFor is longer than a deadline and than a reservation lives.
	freezeFor = 1500 * time.Millisecond
)

// atMostOnceReport is the scenario's result.
type atMostOnceReport struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	promiseFigures
	UnknownShare float64        `json:"unknown_share"`
	Faults       map[string]int `json:"faults"`
}

// runAtMostOnce injects one kind of fault after another to random daemons, backend
// servers and links while payments go on.
func runAtMostOnce(l *lab) (any, error) {
	f, cleanUp, err := harness.Start(harness.Spec{
		Programs:    l.programs,
		DataCentres: []string{"muenchen-nord", "rosenheim", "weilheim"},
		HostsEach:   1,
		Proxied:     true,
		Services:    []harness.Service{{Name: "antraege", Floor: 3, Servers: 6, Slots: 20, Queue: 40, Deadline: onceDeadline, Detection: "swift"}},
	})
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	ctx, cancel := context.WithTimeout(context.Background(), onceRequests*time.Second/onceRate)
	defer cancel()
	streams := make([]load, len(f.Daemons))
	for i := range streams {
		streams[i] = load{
			urls: []string{f.URL(i, "antraege", "/fee")}, method: http.MethodPost, interval: time.Second * time.Duration(len(streams)) / onceRate,
			workMillis: 10, spread: 0.5, prefix: fmt.Sprintf("p%d", i),
		}
	}
	injector := startInjector(ctx, f, l.seed, 1)
	samples := runAll(ctx, streams)
	injector.wait()
	runs, err := ledgerOfAll(f, injector)
	if err != nil {
		return nil, err
	}
	report := atMostOnceReport{Scenario: "at-most-once", Seed: l.seed, promiseFigures: newPromiseFigures(samples, runs), Faults: injector.done}
	report.UnknownShare = ratio(float64(report.Unknown+report.Broken), float64(report.Requests))
	return report, nil
}
