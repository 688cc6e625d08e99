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
func (j *outlierDetector) evaluate(now time.Time) {
	targets := j.pool.Targets()
	j.group.UpdateBaselines()
	if j.declared.AdoptionIn(j.config.DataCentre) == fleet.AdoptionSteer {
		j.avoidUnhealthy(now, targets)
	}
	told := detect.NewReportedFailureRates(j.pool.FailureShares(now))
	for _, target := range targets {
		j.publish(now, target, told)
	}
}

// avoidUnhealthy avoids as many unhealthy targets as the floor allows, the most severe first.
func (j *outlierDetector) avoidUnhealthy(now time.Time, targets []*balance.Target) {
	var sick []unhealthyTarget
	for _, target := range targets {
		subject, ok := j.group.Subject(target.Name)
		if !ok || subject.State(now) != detect.Serving {
			continue
		}
		if verdict := subject.Verdict(now); verdict.Unhealthy && j.group.IsOutlier(target.Name) {
			sick = append(sick, unhealthyTarget{target, subject, verdict})
		}
	}
	slices.SortStableFunc(sick, func(a, b unhealthyTarget) int {
		return cmp.Compare(b.verdict.Severity, a.verdict.Severity)
	})
	left := j.surplus(now, targets)
	for _, s := range sick {
		left = j.avoid(now, s, left)
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
func (j *outlierDetector) publish(now time.Time, target *balance.Target, told detect.ReportedFailureRates) {
	subject, ok := j.group.Subject(target.Name)
	if !ok {
		return
	}
	others := told.Complete(target.Name, j.group.Baseline(target.Name))
	target.SetBaseline(others.Encode(), others.TypicalLatency)
	if j.declared.AdoptionIn(j.config.DataCentre) != fleet.AdoptionSteer {
		target.SetShare(balance.FullShare)
		return
	}
	j.setShare(now, target, subject)
}

// surplus returns how many more targets may be avoided without falling below the floor.
func (j *outlierDetector) surplus(now time.Time, targets []*balance.Target) int {
	out := 0
	for _, target := range targets {
		subject, ok := j.group.Subject(target.Name)
		avoided := ok && subject.State(now) != detect.Serving
		if avoided || j.pool.Paused(target, now) {
			out++
		}
	}
	return len(targets) - j.declared.Floor - out
}

// avoid avoids an unhealthy target if the floor allows it, and returns how many more may be
// avoided. A paused target is already counted as out of use.
func (j *outlierDetector) avoid(now time.Time, s unhealthyTarget, left int) int {
	name := s.target.Name
	paused := j.pool.Paused(s.target, now)
	if left <= 0 && !paused {
		if !j.keptByFloor[name] {
			j.keptByFloor[name] = true
			j.log(event.FloorHeld, s.target, "cause", s.verdict.Cause)
		}
		return left
	}
	s.subject.Eject(now)
	delete(j.keptByFloor, name)
	j.log(event.ServerAvoided, s.target, "cause", s.verdict.Cause)
	if paused {
		return left
	}
	return left - 1
}

// setShare sets the target's share according to its state.
func (j *outlierDetector) setShare(now time.Time, target *balance.Target, subject *detect.Subject) {
	switch subject.State(now) {
	case detect.Ejected:
		target.SetShare(0)
	case detect.Probation:
		target.SetShare(0)
		target.OpenProbation()
	case detect.Serving:
		target.SetShare(j.servingShare(now, target, subject))
	}
}

func (j *outlierDetector) servingShare(now time.Time, target *balance.Target, subject *detect.Subject) uint32 {
	share := uint32(subject.TrafficShare(now) * balance.FullShare)
	if !j.keptByFloor[target.Name] {
		return share
	}
	if !subject.Verdict(now).Unhealthy {
		delete(j.keptByFloor, target.Name)
		return share
	}
	return min(share, reducedShare)
}
