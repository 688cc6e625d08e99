package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
)

// reducedShare is the maximum share of an unhealthy target that the floor keeps in use. It is large
// enough for a recovery to show soon.
const reducedShare = balance.FullShare / 8

// evaluate compares all targets and sets the share of each.
func (d *outlierDetector) evaluate(now time.Time) {
	d.group.UpdateBaselines()
	if d.declared.AdoptionIn(d.config.DataCentre) == fleet.AdoptionSteer {
		d.avoidUnhealthy(now)
	}
	rates := detect.NewReportedFailureRates(d.pool.FailureShares(now))
	ofUnknown := rates.Complete("", d.group.Baseline(""))
	d.pool.SetBaseline(ofUnknown.Encode(), ofUnknown.TypicalLatency)
	for _, target := range d.observed {
		d.publish(now, target, rates)
	}
}

// avoidUnhealthy avoids as many unhealthy targets as the floor allows, the most severe first.
func (d *outlierDetector) avoidUnhealthy(now time.Time) {
	var unhealthy []unhealthyTarget
	for _, target := range d.observed {
		subject, ok := d.group.Subject(target.Name)
		if !ok || subject.State(now) != detect.Serving {
			continue
		}
		if verdict := subject.Verdict(now); verdict.Unhealthy && d.group.IsOutlier(target.Name) {
			unhealthy = append(unhealthy, unhealthyTarget{target, subject, verdict})
		}
	}
	if len(unhealthy) == 0 {
		return
	}
	slices.SortFunc(unhealthy, func(a, b unhealthyTarget) int {
		return cmp.Or(cmp.Compare(b.verdict.Severity, a.verdict.Severity), cmp.Compare(a.target.Name, b.target.Name))
	})
	left := d.surplus(now, d.pool.Targets())
	for _, candidate := range unhealthy {
		left = d.avoid(now, candidate, left)
	}
}

// unhealthyTarget is a target that the detection rules classify as unhealthy.
type unhealthyTarget struct {
	target  *balance.Target
	subject *detect.Subject
	verdict detect.Verdict
}

// publish sets the target's share of the requests and the baseline that requests to its sidecar
// carry.
func (d *outlierDetector) publish(now time.Time, target *balance.Target, rates detect.ReportedFailureRates) {
	subject, ok := d.group.Subject(target.Name)
	if !ok {
		return
	}
	others := rates.Complete(target.Name, d.group.Baseline(target.Name))
	target.SetBaseline(others.Encode(), others.TypicalLatency)
	if d.declared.AdoptionIn(d.config.DataCentre) != fleet.AdoptionSteer {
		target.SetShare(balance.FullShare)
		return
	}
	d.setShare(now, target, subject)
}

// surplus returns how many more targets may be avoided without falling below the floor.
func (d *outlierDetector) surplus(now time.Time, targets []*balance.Target) int {
	out := 0
	for _, target := range targets {
		subject, ok := d.group.Subject(target.Name)
		avoided := ok && subject.State(now) != detect.Serving
		if avoided || d.pool.Paused(target, now) {
			out++
		}
	}
	return len(targets) - d.declared.Floor - out
}

// avoid avoids an unhealthy target if the floor allows it, and returns how many more may be
// avoided. A paused target is already counted as out of use.
func (d *outlierDetector) avoid(now time.Time, candidate unhealthyTarget, left int) int {
	name := candidate.target.Name
	paused := d.pool.Paused(candidate.target, now)
	if left <= 0 && !paused {
		if !d.keptByFloor[name] {
			d.keptByFloor[name] = true
			d.log(event.FloorHeld, candidate.target, "cause", candidate.verdict.Cause)
		}
		return left
	}
	candidate.subject.Eject(now)
	delete(d.keptByFloor, name)
	d.log(event.ServerAvoided, candidate.target, "cause", candidate.verdict.Cause)
	if paused {
		return left
	}
	return left - 1
}

// setShare sets the target's share according to its state.
func (d *outlierDetector) setShare(now time.Time, target *balance.Target, subject *detect.Subject) {
	switch subject.State(now) {
	case detect.Ejected:
		target.SetShare(0)
	case detect.Probation:
		target.SetShare(0)
		target.OpenProbation()
	case detect.Serving:
		target.SetShare(d.servingShare(now, target, subject))
	}
}

func (d *outlierDetector) servingShare(now time.Time, target *balance.Target, subject *detect.Subject) uint32 {
	share := uint32(subject.TrafficShare(now) * balance.FullShare)
	if !d.keptByFloor[target.Name] {
		return share
	}
	if !subject.Verdict(now).Unhealthy {
		delete(d.keptByFloor, target.Name)
		return share
	}
	return min(share, reducedShare)
}
