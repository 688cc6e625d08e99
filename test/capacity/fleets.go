package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/tideliftd/tidelift/test/harness"
)

const (
	// idleFor is how long an idle fleet is measured.
	idleFor = 10 * time.Second
	// changes is the number of changes that are applied in sequence.
	changes = 20
	// changeTimeout limits the wait for a change to be in force.
	changeTimeout = 30 * time.Second
)

// fleetFigures are the costs of a fleet of daemons when idle and for changes.
type fleetFigures struct {
	daemons       int
	idleCalls     float64 // platform calls per second
	changeCalls   float64 // platform calls per change
	changeBytes   float64 // bytes of the platform's responses, per change and daemon
	idleCPU       float64 // percent of a core, per daemon
	residentMB    float64
	inForceMillis float64 // mean time from accepted to in force everywhere
	worstMillis   float64
}

func measureFleets() (string, error) {
	programs, remove, err := harness.Build()
	if err != nil {
		return "", err
	}
	defer remove()
	var b strings.Builder
	b.WriteString("| daemons | platform calls/s at rest | platform calls a change | platform bytes a change and daemon | a daemon at rest, of a core | resident | in force everywhere, mean | worst |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|\n")
	for _, daemons := range []int{4, 8, 16, 32} {
		f, err := measureFleet(programs, daemons)
		if err != nil {
			return "", err
		}
		row := fmt.Sprintf("| %d | %.2f | %.0f | %.0f | %.2f%% | %.0f MB | %.0f ms | %.0f ms |\n",
			f.daemons, f.idleCalls, f.changeCalls, f.changeBytes, f.idleCPU, f.residentMB, f.inForceMillis, f.worstMillis)
		fmt.Print(row)
		b.WriteString(row)
	}
	return b.String(), nil
}

func measureFleet(programs harness.Programs, daemons int) (fleetFigures, error) {
	figures := fleetFigures{daemons: daemons}
	f, cleanUp, err := harness.Start(harness.Spec{
		Programs:    programs,
		DataCentres: []string{"a", "b", "c", "d"},
		HostsEach:   daemons / 4,
		Services:    []harness.Service{{Name: "lookup", Floor: daemons / 2, Servers: daemons}},
	})
	if err != nil {
		return figures, err
	}
	defer cleanUp()
	if err := figures.measureIdle(f); err != nil {
		return figures, err
	}
	return figures, figures.measureChanges(f)
}

func (x *fleetFigures) measureIdle(f *harness.Fleet) error {
	used, err := f.ProcessorTime()
	if err != nil {
		return err
	}
	calls := f.Platform.Calls()
	time.Sleep(idleFor)
	after, err := f.ProcessorTime()
	if err != nil {
		return err
	}
	x.idleCalls = float64(f.Platform.Calls()-calls) / idleFor.Seconds()
	x.idleCPU = 100 * (after - used).Seconds() / idleFor.Seconds() / float64(x.daemons)
	x.residentMB, err = f.Daemons[0].ResidentMB()
	return err
}

func (x *fleetFigures) measureChanges(f *harness.Fleet) error {
	calls, bytes := f.Platform.Calls(), f.Platform.Bytes()
	text := f.Declaration()
	for n := range changes {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		base := int64(n + 1)
		if _, err := f.Apply(ctx, n%x.daemons, fmt.Sprintf("# change %d\n%s", n, text), base, fmt.Sprint("change-", n)); err != nil {
			return err
		}
		accepted := time.Now()
		if err := f.WaitRevision(ctx, base+1); err != nil {
			return err
		}
		took := float64(time.Since(accepted).Microseconds()) / 1000
		x.inForceMillis += took / changes
		x.worstMillis = max(x.worstMillis, took)
	}
	x.changeCalls = float64(f.Platform.Calls()-calls) / changes
	x.changeBytes = float64(f.Platform.Bytes()-bytes) / changes / float64(x.daemons)
	return nil
}
