package sidecar

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/floor"
	"github.com/tideliftd/tidelift/internal/result"
)

// Peer carries the calls that keep the floor to the sidecar of another backend
// server of the service.
type Peer struct {
	// Ask asks for a lease.
	Ask func(ctx context.Context, other fleet.Placement, r floor.Request) (LeaseAnswer, error)
	// Trusted tells ingresses that a backend server of this host is no longer
	// suspected.
	Trusted func(hosts []string, backendServer string)
	// Release gives a lease back.
	Release func(ctx context.Context, other fleet.Placement, r floor.Release) error
}

// LeaseAnswer answers a request for a lease.
type LeaseAnswer struct {
	// Refusal says why not; floor.Granted means that it was given.
	Refusal floor.Refusal `json:"refusal"`
	// Summary is how the one asked does itself.
	Summary detect.Summary `json:"standing"`
}

// State is what the sidecar does with a backend server.
type State string

// The states.
const (
	// StateServing means that the backend server gets work.
	StateServing State = "serving"
	// StateEjected means that it gets none for a while.
	StateEjected State = "ejected"
	// StateProbation means that it gets one idempotent request at a time.
	StateProbation State = "trial"
	// StateDraining means that it gets no new work and is going.
	StateDraining State = "leaving"
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

// The messages that a server's task takes.
type (
	offerMessage struct {
		request admission.Request
		host    string // the ingress's
		reply   chan grant
	}
	observeMessage struct {
		observation detect.Observation
		others      detect.Baseline
	}
	// slowMessage says that a running request has outlasted nearly all others of its
	// route, or, if it has ended, that it had.
	slowMessage struct {
		began time.Time
		ended bool
	}
	releaseMessage struct {
		took        time.Duration
		probation   bool
		isEvidence  bool
		observation detect.Observation
		others      detect.Baseline
	}
	cancelMessage struct {
		request admission.Request
		reply   chan bool
	}
	drainMessage struct{ draining bool }
	// hostListMessage is what the platform's list says of the host.
	hostListMessage struct{ draining bool }
	// selfDrainMessage is the backend server's own word that it is draining.
	selfDrainMessage   struct{}
	reconfigureMessage struct{ declared *declared }
	reportMessage      struct{ reply chan Report }
	// askedMessage asks for a lease to another backend server.
	askedMessage struct {
		request floor.Request
		reply   chan LeaseAnswer
	}
	// releasedMessage gives a lease back.
	releasedMessage struct{ release floor.Release }
	// leaseMessage is the answer to a request of this one's own.
	leaseMessage struct {
		number uint64
		from   string
		asked  time.Time
		lease  LeaseAnswer
	}
)

// grant answers an offer; err is nil if the request has a slot.
type grant struct {
	err       *result.Error
	probation bool
}
