package main

import (
	"context"
	"fmt"
	"time"

	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/test/harness"
)

// drainReport is the result of drain.
type drainReport struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	promiseFigures
	WorkAfterDraining int   `json:"work_after_leaving"`
	LastWorkMs        int64 `json:"last_work_ms"`
}

// drainingWithin is how soon after it is draining a backend server must get no
// more work.
const drainingWithin = 3 * time.Second

func runDrain(l *lab) (any, error) {
	f, cleanUp, err := harness.Start(harness.Spec{
		Programs:    l.programs,
		DataCentres: []string{"angyalfold", "csepel", "obuda"},
		HostsEach:   1,
		Services:    []harness.Service{{Name: "lookup", Floor: grayFloor, Servers: grayServers, Slots: 60, Queue: 60}},
	})
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	streams := make([]load, len(f.Daemons))
	for i := range streams {
		streams[i] = load{urls: []string{f.URL(i, "lookup", "/x")}, interval: time.Second / 100, workMillis: grayWork, spread: 0.4, prefix: fmt.Sprintf("d%d", i)}
	}
	done := make(chan []sample, 1)
	go func() { done <- runAll(ctx, streams) }()
	sleepUntil(ctx, time.Now().Add(3*time.Second))
	draining := f.Backends[sickServer]
	_, err = f.Daemons[0].Client().Drain(ctx, &operatorapi.Drain{BackendServer: draining.Name, Leaving: true})
	if err != nil {
		return nil, err
	}
	leftAt := time.Now()
	samples := <-done
	runs, err := ledger(f)
	if err != nil {
		return nil, err
	}
	kept, err := draining.Ledger()
	if err != nil {
		return nil, err
	}
	report := drainReport{Scenario: "drain", Seed: l.seed, promiseFigures: newPromiseFigures(samples, runs)}
	for _, starts := range kept.Starts {
		for _, micros := range starts {
			after := time.UnixMicro(micros).Sub(leftAt)
			report.LastWorkMs = max(report.LastWorkMs, after.Milliseconds())
			if after > drainingWithin {
				report.WorkAfterDraining++
			}
		}
	}
	return report, nil
}
