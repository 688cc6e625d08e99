package sidecar

import (
	"time"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/floor"
	"github.com/tideliftd/tidelift/internal/result"
)

// The messages that a server's task takes.
type (
	offerMessage struct {
		attempt admission.Attempt
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
