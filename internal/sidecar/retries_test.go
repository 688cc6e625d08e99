package sidecar

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// newLimitedTask returns a task whose service allows a retry for each ten requests, and one
// more.
func newLimitedTask() *task {
	t := newTestTask()
	t.declared.Service.RetryShare = 0.2
	t.declared.Service.RetryWindow = 10 * time.Second
	t.retries.Resize(t.declared.retrySize())
	return t
}

// offers is what a task is asked, one request after the other.
type offers struct {
	task *task
	now  time.Time
	id   uint64
}

// one offers a request and returns what the task says, or nil while it waits, and the offer.
func (o *offers) one(call hop.Call) (*grant, offerMessage) {
	o.id++
	deadline := o.now.Add(time.Minute)
	m := offerMessage{request: admission.Request{ID: o.id, Deadline: deadline}, call: call, reply: make(chan grant, 1)}
	o.task.offer(o.now, m)
	select {
	case g := <-m.reply:
		return &g, m
	default:
		return nil, m
	}
}

// run runs requests, each after the other has ended, and returns how many were refused for
// the retry limit.
func (o *offers) run(count int, call hop.Call) (limited int) {
	for range count {
		g, _ := o.one(call)
		if g.err != nil && g.err.Code.Number == result.RetryLimit.Number {
			limited++
			continue
		}
		o.task.release(o.now, releaseMessage{took: time.Millisecond, repeat: call.Repeat})
	}
	return limited
}

// TestRepeatsStayWithinTheLimit sends repeats after first sendings, and some that are not
// sent after all.
func TestRepeatsStayWithinTheLimit(t *testing.T) {
	o := &offers{task: newLimitedTask(), now: time.Now()}
	if limited := o.run(50, hop.Call{}); limited != 0 {
		t.Fatalf("%d first sendings were refused", limited)
	}
	const allowed = 7 // 0.65 x 0.2 x 50 and one more
	if limited := o.run(20, hop.Call{Repeat: true}); limited != 20-allowed {
		t.Fatalf("%d of 20 repeats were refused, want %d", limited, 20-allowed)
	}
	o.now = o.now.Add(11 * time.Second)
	if limited := o.run(1, hop.Call{Repeat: true}); limited != 0 {
		t.Fatal("a repeat was refused in a new window")
	}
}

// TestARepeatThatIsNotSentCostsNothing gives slots back unused, and withdraws, evicts or
// refuses requests that wait for one.
func TestARepeatThatIsNotSentCostsNothing(t *testing.T) {
	repeat := hop.Call{Repeat: true}
	ends := map[string]func(*offers){
		"its slot was not used": func(o *offers) {
			o.one(repeat)
			o.task.release(o.now, releaseMessage{repeat: true})
		},
		"it is withdrawn": func(o *offers) {
			_, m := o.one(repeat)
			o.task.cancel(o.now, cancelMessage{request: m.request, reply: make(chan bool, 1)})
		},
		"it is turned away": func(o *offers) {
			o.one(repeat)
			o.task.turnAwayWaiting(o.now)
		},
		"it finds no slot at once": func(o *offers) {
			o.one(hop.Call{Repeat: true, NoWait: true})
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			o := &offers{task: newLimitedTask(), now: time.Now()}
			if name != "its slot was not used" {
				for range o.task.declared.BackendServer.Slots {
					o.one(hop.Call{})
				}
			}
			end(o)
			if !o.task.retries.Left(o.now) {
				t.Fatal("the retry is spent")
			}
		})
	}
}
