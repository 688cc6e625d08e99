package sidecar

import (
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
)

// report is the state of the backend server for operators.
func (t *task) report(now time.Time) Report {
	return Report{
		BackendServer: t.declared.BackendServer.Name,
		Service:       t.declared.Service.Name,
		Daemon:        t.declared.Host.Name,
		State:         t.state(now),
		Adoption:      t.declared.adoption(),
		Running:       t.queue.Running(),
		Waiting:       t.queue.Waiting(),
		Load:          t.queue.Load(),
		Floor:         t.describeFloor(now),
		Detection:     t.subject.Explain(now),
	}
}

func (t *task) state(now time.Time) State {
	switch {
	case t.isDraining(now):
		return StateDraining
	case !t.isEjected(now):
		return StateServing
	case t.subject.State(now) == detect.Probation:
		return StateProbation
	default:
		return StateEjected
	}
}
