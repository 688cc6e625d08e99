package admission_test

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/retryafter"
)

// admitCase is a request, the state of the backend server, and the expected decision.
type admitCase struct {
	name       string
	server     admission.Server
	attempt    admission.Attempt
	running    int // of two slots
	want       admission.Verdict
	retryAfter time.Duration // not checked if the queue decides
	probation  bool
}

func admitCases() []admitCase {
	const suspectedFor = 300 * time.Millisecond
	suspected := admission.Suspicion{Suspected: true, RetryAfter: suspectedFor}
	slow := admission.Suspicion{Suspected: true, MostlySlow: true}
	probed := admission.Suspicion{Suspected: true, MayProbe: true}
	probedByAny := admission.Suspicion{Suspected: true, MayProbe: true, MayProbeNonIdempotent: true}
	nonIdempotent := admission.Attempt{NonIdempotent: true}
	return []admitCase{
		{name: "nothing is known", want: admission.Granted},
		{
			name: "draining precedes all other rules", server: admission.Server{Draining: true, Suspicion: suspected, State: detect.Ejected},
			attempt: admission.Attempt{DespiteSuspicion: true}, want: admission.RefusedDraining,
		},
		{name: "suspected", server: admission.Server{Suspicion: suspected}, want: admission.RefusedSuspected, retryAfter: suspectedFor},
		{
			name: "suspected, no other backend server left", server: admission.Server{Suspicion: suspected},
			attempt: admission.Attempt{NonIdempotent: true, DespiteSuspicion: true}, want: admission.Granted,
		},
		{name: "suspected as slow, idempotent", server: admission.Server{Suspicion: slow}, want: admission.Granted},
		{name: "suspected as slow, not idempotent", server: admission.Server{Suspicion: slow}, attempt: nonIdempotent, want: admission.RefusedSuspected},
		{name: "a probe is due, idempotent", server: admission.Server{Suspicion: probed}, want: admission.Granted},
		{name: "a probe is due, not idempotent", server: admission.Server{Suspicion: probed}, attempt: nonIdempotent, want: admission.RefusedSuspected},
		{name: "a probe is long due, not idempotent", server: admission.Server{Suspicion: probedByAny}, attempt: nonIdempotent, want: admission.Granted},
		{name: "suspicion precedes ejection", server: admission.Server{Suspicion: probed, State: detect.Ejected}, want: admission.Granted},
		{
			name: "ejected", server: admission.Server{State: detect.Ejected, EjectedFor: 400 * time.Millisecond},
			attempt: admission.Attempt{DespiteSuspicion: true}, want: admission.RefusedEjected, retryAfter: 400 * time.Millisecond,
		},
		{name: "in probation", server: admission.Server{State: detect.Probation}, want: admission.Granted, probation: true},
		{
			name: "in probation, not idempotent", server: admission.Server{State: detect.Probation}, attempt: nonIdempotent,
			want: admission.RefusedEjected, retryAfter: retryafter.Probation,
		},
		{
			name: "in probation with a request", server: admission.Server{State: detect.Probation, ProbationInFlight: true},
			want: admission.RefusedEjected, retryAfter: retryafter.Probation,
		},
		{name: "in probation, no slot", server: admission.Server{State: detect.Probation}, running: 2, want: admission.Queued},
		{name: "hanging", server: admission.Server{Hanging: true}, want: admission.Granted},
		{
			name: "hanging, refusal requested", server: admission.Server{Hanging: true},
			attempt: admission.Attempt{RefuseIfHanging: true, Retry: true}, want: admission.RefusedHanging,
		},
		{name: "no retry is left, a first attempt", want: admission.Granted},
		{name: "no retry is left, a retry", attempt: admission.Attempt{Retry: true, RefuseIfBusy: true}, running: 2, want: admission.RefusedRetry},
		{name: "a retry is left", server: admission.Server{RetryLeft: true}, attempt: admission.Attempt{Retry: true}, want: admission.Granted},
		{name: "busy", running: 2, want: admission.Queued},
		{
			name: "busy, refusal requested", running: 2, attempt: admission.Attempt{RefuseIfBusy: true},
			want: admission.RefusedBusy, retryAfter: 5 * time.Millisecond,
		},
	}
}

// TestTheFirstRuleThatAppliesDecides guards the order of the rules and the refusal of each.
func TestTheFirstRuleThatAppliesDecides(t *testing.T) {
	for _, test := range admitCases() {
		t.Run(test.name, func(t *testing.T) {
			size := admission.Config{Slots: 2, Depth: 4}
			q := admission.NewQueue(size)
			for id := range test.running {
				q.Offer(start, request(uint64(id+1), "county-7"))
			}
			server := test.server
			server.Size = size
			if server.State == "" {
				server.State = detect.Serving
			}
			got := q.Admit(start, &server, test.attempt, request(9, ""))
			if got.Verdict != test.want || got.Probation != test.probation || got.RetryAfter != test.retryAfter {
				t.Fatalf("got %+v, want %s in %v, probation %t", got, test.want, test.retryAfter, test.probation)
			}
		})
	}
}

// TestAdmitUsesTheCurrentSize guards against an offer that is decided by an outdated number of
// slots.
func TestAdmitUsesTheCurrentSize(t *testing.T) {
	q := admission.NewQueue(admission.Config{Slots: 4, Depth: 4})
	q.Offer(start, request(1, "county-7"))
	ramping := admission.Server{State: detect.Serving, Size: admission.Config{Slots: 1, Depth: 4}}
	if got := q.Admit(start, &ramping, admission.Attempt{}, request(2, "county-7")); got.Verdict != admission.Queued {
		t.Fatalf("second request with one slot: %s, want it queued", got.Verdict)
	}
}

func BenchmarkAdmit(b *testing.B) {
	size := admission.Config{Slots: 10, Depth: 20}
	q := admission.NewQueue(size)
	server := admission.Server{State: detect.Serving, Size: size}
	b.ReportAllocs()
	for b.Loop() {
		q.Admit(start, &server, admission.Attempt{}, request(1, "county-7"))
		q.Done(start, time.Millisecond)
	}
}
