package sidecar

import (
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/fleet"
)

// State is the state of a backend server at its sidecar.
type State string

// States of a backend server.
const (
	// StateServing means that the backend server receives requests.
	StateServing State = "serving"
	// StateEjected means that the backend server temporarily receives no requests.
	StateEjected State = "ejected"
	// StateProbation means that the backend server receives one idempotent request at a time.
	StateProbation State = "trial"
	// StateDraining means that the backend server finishes its requests and receives no new ones.
	StateDraining State = "leaving"
	// StateEvacuated means that its data centre is evacuated: it finishes its requests and receives
	// no new ones.
	StateEvacuated State = "evacuated"
)

// Report is the state of one backend server as its sidecar sees it.
type Report struct {
	BackendServer string             `json:"backend_server"`
	Service       string             `json:"service"`
	Daemon        string             `json:"daemon"`
	State         State              `json:"state"`
	Adoption      fleet.Adoption     `json:"adoption"`
	Running       int                `json:"running"`
	Waiting       int                `json:"waiting"`
	Load          float64            `json:"load"`
	Floor         string             `json:"floor"`
	Detection     detect.Explanation `json:"detection"`
}

// report returns the state of the backend server for operators.
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
	case t.declared.evacuated:
		return StateEvacuated
	case !t.isEjected(now):
		return StateServing
	case t.subject.State(now) == detect.Probation:
		return StateProbation
	default:
		return StateEjected
	}
}
