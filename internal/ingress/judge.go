package ingress

import (
	"fmt"
	"maps"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
)

const (
	// evaluationInterval is the interval between evaluations of the evidence.
	evaluationInterval = 100 * time.Millisecond
	// idleAfter is how long after the last observation a detector keeps evaluating, so that a
	// service without requests costs nothing.
	idleAfter = time.Second
	// observationQueueSize is the capacity of a detector's observation queue. Requests do not block
	// on a full queue: further observations are dropped and counted.
	observationQueueSize = 512
)

// outlierDetector evaluates the path from this daemon to each backend server of one service.
// Requests report what they observe; the detector sets the targets' shares.
//
// It avoids a target rather than ejecting it, since the path from other daemons may be healthy. At
// least as many targets as the floor requires stay in use; ejected and draining targets do not
// count towards it.
type outlierDetector struct {
	config          Config
	pool            *balance.Pool
	observations    chan observation
	changes         chan serviceChange
	explainRequests chan explainRequest
	done            chan struct{}
	dropped         tally.Counter

	declared    fleet.Service
	group       *detect.Group
	observed    map[string]*balance.Target // targets with a subject, by name
	keptByFloor map[string]bool            // unhealthy, but kept in use by the floor
	idle        bool
	lastSeen    time.Time // of the last observation
}

// observation is what a request observed of a target. A probation request is sent to an avoided
// target to test whether it has recovered.
type observation struct {
	target     *balance.Target
	probation  bool
	isEvidence bool // false if the request says nothing about the target's health
	saw        detect.Observation
}

// serviceChange is the service as declared, and which backend servers it has.
type serviceChange struct {
	declared fleet.Service
	isMember func(backendServer string) bool
}

type explainRequest struct {
	backendServer string
	reply         chan explanation
}

type explanation struct {
	detect.Explanation
	floor string
	known bool
}

func newOutlierDetector(config Config, pool *balance.Pool) *outlierDetector {
	j := &outlierDetector{
		config:          config,
		pool:            pool,
		observations:    make(chan observation, observationQueueSize),
		changes:         make(chan serviceChange),
		explainRequests: make(chan explainRequest),
		done:            make(chan struct{}),
		dropped:         config.Scope.Counter("ingress_observations_dropped"),
		group:           detect.NewGroup(detect.Careful()),
		observed:        make(map[string]*balance.Target),
		keptByFloor:     make(map[string]bool),
	}
	go j.run()
	return j
}

func (d *outlierDetector) stop() { close(d.done) }

// reconfigure applies the service's declaration.
func (d *outlierDetector) reconfigure(declared fleet.Service, index *fleet.Index) {
	isMember := func(backendServer string) bool {
		placement, ok := index.BackendServer(backendServer)
		return ok && placement.Service.Name == declared.Name
	}
	select {
	case d.changes <- serviceChange{declared, isMember}:
	case <-d.done:
	}
}

// record queues an observation without blocking.
func (d *outlierDetector) record(o observation) {
	select {
	case d.observations <- o:
	default:
		d.dropped.Inc(1)
	}
}

// explain returns the evidence on a backend server and the state of its floor.
func (d *outlierDetector) explain(backendServer string) (detect.Explanation, string, bool) {
	q := explainRequest{backendServer: backendServer, reply: make(chan explanation, 1)}
	select {
	case d.explainRequests <- q:
		answer := <-q.reply
		return answer.Explanation, answer.floor, answer.known
	case <-d.done:
		return detect.Explanation{}, "", false
	}
}

// run evaluates the evidence periodically, and stops doing so while the service has no requests and
// all its backend servers have their full share.
func (d *outlierDetector) run() {
	pace := time.NewTimer(evaluationInterval)
	defer pace.Stop()
	for {
		select {
		case o := <-d.observations:
			d.observe(time.Now(), o)
			if d.idle {
				d.idle = false
				pace.Reset(evaluationInterval)
			}
		case <-pace.C:
			d.evaluate(time.Now())
			d.idle = d.canIdle(time.Now())
			if !d.idle {
				pace.Reset(evaluationInterval)
			}
		case change := <-d.changes:
			d.apply(change)
		case q := <-d.explainRequests:
			q.reply <- d.explainNow(time.Now(), q.backendServer)
		case <-d.done:
			return
		}
	}
}

// apply applies the service's declaration.
func (d *outlierDetector) apply(change serviceChange) {
	d.declared = change.declared
	d.group.Reconfigure(detect.RulesOf(d.declared.Detection), change.isMember)
	maps.DeleteFunc(d.observed, func(name string, _ *balance.Target) bool { return !change.isMember(name) })
	maps.DeleteFunc(d.keptByFloor, func(name string, _ bool) bool { return !change.isMember(name) })
}

// observe records an observation of a target. If the request was a probation request, observe ends
// the probation.
func (d *outlierDetector) observe(now time.Time, o observation) {
	d.lastSeen = now
	subject, ok := d.group.Observed(o.target.Name)
	if !ok {
		return
	}
	d.observed[o.target.Name] = o.target
	if !o.probation {
		if o.isEvidence && subject.State(now) == detect.Serving {
			subject.Observe(now, o.saw, d.group.Baseline(o.target.Name))
		}
		return
	}
	o.target.CloseProbation()
	if !o.isEvidence || subject.State(now) != detect.Probation {
		return
	}
	if subject.ObserveProbation(now, o.saw, d.group.Baseline(o.target.Name)) {
		d.log(event.ServerReturned, o.target, "why", "passed its trial on this path")
	}
}

// canIdle reports whether no share can change before the next observation.
func (d *outlierDetector) canIdle(now time.Time) bool {
	if now.Sub(d.lastSeen) < idleAfter || len(d.keptByFloor) > 0 {
		return false
	}
	for _, target := range d.observed {
		if target.Share() < balance.FullShare {
			return false
		}
	}
	return true
}

// explainNow returns the evidence on a backend server and the state of its floor.
func (d *outlierDetector) explainNow(now time.Time, backendServer string) explanation {
	subject, ok := d.group.Observed(backendServer)
	if !ok {
		return explanation{}
	}
	floor := fmt.Sprintf("floor %d", d.declared.Floor)
	if d.keptByFloor[backendServer] {
		floor += ": kept in use with a reduced share"
	}
	return explanation{Explanation: subject.Explain(now), floor: floor, known: true}
}

func (d *outlierDetector) log(e event.Event, target *balance.Target, args ...any) {
	all := append([]any{"backend_server", target.Name, "service", d.declared.Name, "witness", "ingress"}, args...)
	event.Log(d.config.Logger, e, all...)
}
