package sidecar

import (
	"time"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/floor"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/serverlimit"
)

// Messages to the task of a backend server.
type (
	offerMessage struct {
		attempt admission.Attempt
		request admission.Request
		host    string // of the ingress
		// serverLimit is the limit that the backend server named to the ingress's host; zero if none.
		serverLimit float64
		// route is the name of the request's route, if known; long is set if the rules for long requests apply.
		route string
		long  bool
		reply chan grant
	}
	observeMessage struct {
		observation detect.Observation
		others      detect.Baseline
	}
	// slowMessage reports that a running request has become slow or, if ended is set, that a slow
	// request has ended.
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
	// coldMessage reports how long the backend server is cold.
	coldMessage struct{ until time.Time }
	// limitMessage reports what an answer says about the limit of the backend server.
	limitMessage struct{ statement serverlimit.Statement }
	// hostListMessage reports whether the platform's host list marks the host as draining.
	hostListMessage struct{ draining bool }
	// selfDrainMessage reports that an answer of the backend server says that it is draining.
	selfDrainMessage   struct{}
	reconfigureMessage struct{ declared *declared }
	reportMessage      struct{ reply chan Report }
	// leaseRequestMessage is a lease request of another backend server.
	leaseRequestMessage struct {
		request floor.Request
		reply   chan LeaseResponse
	}
	// leaseReleaseMessage returns a lease that this backend server granted.
	leaseReleaseMessage struct{ release floor.Release }
	// leaseAnswerMessage is the answer to a lease request of this backend server.
	leaseAnswerMessage struct {
		number      uint64
		from        string
		requestedAt time.Time
		lease       LeaseResponse
	}
)

// grant is the answer to an offer; err is nil if the request has a slot.
type grant struct {
	err       *result.Error
	probation bool
}
