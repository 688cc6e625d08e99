package ingress

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

// send sends the outgoing request to the target's sidecar, by a function call if the target is on
// this host. If other answers wait on the caller's connection, the answer is read first, since a truncated one would
// end the connection.
func (a *attempt) send(ctx context.Context, out *http.Request) (sidecar.Answer, error) {
	call := a.call()
	if call.TimeLeft <= 0 {
		return sidecar.Answer{}, result.New(result.DeadlineBeforeRun)
	}
	answer, err := a.sendTo(ctx, call, out)
	if err != nil || a.in.config.AnswersWait == nil || !a.in.config.AnswersWait(ctx) {
		return answer, err
	}
	if err := hop.BufferWhole(answer.Response); err != nil {
		return sidecar.Answer{}, hop.Classify(ctx, true, result.PeerUnreachable, err)
	}
	return answer, nil
}

// sendTo sends the request to this host's sidecar or to that of another host.
func (a *attempt) sendTo(ctx context.Context, call hop.Call, out *http.Request) (sidecar.Answer, error) {
	if address, remote := a.in.remote(a.Target); remote {
		return a.in.sendRemote(ctx, call, out, address)
	}
	return a.in.config.Local(ctx, call, out)
}

// call returns the parameters of the call to the target's sidecar.
func (a *attempt) call() hop.Call {
	r := a.request
	return hop.Call{
		BackendServer:     a.Target.Name,
		TimeLeft:          time.Until(r.deadline),
		LatencyTargetLeft: time.Until(r.attemptRequest.LatencyTargetAt),
		TypicalLatency:    r.typicalLatency(),
		LatencyTarget:     r.latencyTarget,
		SlowAfter:         r.slowAfter(),
		Customer:          r.queueCustomer,
		NonIdempotent:     r.attemptRequest.NonIdempotent,
		DespiteSuspicion:  a.DespiteSuspicion,
		RefuseIfBusy:      a.RefuseIfBusy,
		RefuseIfHanging:   a.RefuseIfHanging,
		Retry:             a.grant != grantNone || r.sentByRetry,
		Reservation:       a.reservation,
		Body:              r.body,
		Host:              a.in.config.Host,
		Origin:            a.in.config.Service,
		Priority:          r.priority,
		Baseline:          a.Target.Baseline(),
		ServerLimit:       a.Target.ServerLimit(),
		Long:              r.attemptRequest.Long,
		Route:             r.longRoute(),
	}
}

// longRoute returns the name of the request's route if the request is long, and an empty name
// otherwise: the sidecar uses the name only for the rules for long requests.
func (r *request) longRoute() string {
	if !r.attemptRequest.Long {
		return ""
	}
	return r.route.Host + r.route.Path
}

// remote returns the address of the target's daemon, and reports whether that is another daemon.
func (in *Ingress) remote(target *balance.Target) (string, bool) {
	host := target.Placement().Host
	return host.PeersFrom(in.config.DataCentre), host.Name != in.config.Host
}

// sendRemote sends the request to another daemon. A non-idempotent request without a reservation
// gets one there first.
func (in *Ingress) sendRemote(ctx context.Context, call hop.Call, r *http.Request, address string) (sidecar.Answer, error) {
	if call.NonIdempotent && call.Reservation == "" {
		reservation, err := in.requestReservation(ctx, call, address)
		if err != nil {
			return sidecar.Answer{}, err
		}
		call.Reservation = reservation
	}
	response, err := in.hop(ctx, call, r, address) //nolint:bodyclose // the receiver of the answer closes it
	if err != nil {
		return sidecar.Answer{}, err
	}
	if err := hop.BufferShort(response); err != nil {
		return sidecar.Answer{}, hop.Classify(ctx, true, result.PeerUnreachable, err)
	}
	load, waited := hop.DecodeServed(response.Header)
	return sidecar.Answer{Response: response, Load: load, Failing: hop.DecodeFailing(response.Header), Limit: hop.DecodeLimit(response.Header), Waited: waited}, nil
}

// hop sends one request to another daemon. A refusal is returned as an error.
func (in *Ingress) hop(ctx context.Context, call hop.Call, r *http.Request, address string) (*http.Response, error) {
	trip := hop.Sender{
		Transport:   in.transport,
		TLS:         in.config.TLS != nil,
		Address:     address,
		Unreachable: result.PeerUnreachable,
		SetHeaders:  call.Encode,
	}
	response, err := trip.Send(ctx, r)
	if err != nil {
		return nil, err
	}
	if text := response.Header.Get(result.Header); text != "" {
		return nil, readRefusal(response, text)
	}
	return response, nil
}

// readRefusal converts a sidecar's refusal back into its result code.
func readRefusal(response *http.Response, text string) error {
	_ = response.Body.Close() // refusals have no body
	number, _, _ := strings.Cut(text, " ")
	parsed, err := strconv.Atoi(number)
	if err != nil {
		return result.Wrap(result.ConnectionLost, errors.Wrap(err, "read refusal"))
	}
	code, ok := result.ByNumber(parsed)
	if !ok {
		return result.New(result.ConnectionLost).WithDetail("refusal %q is not known here", text)
	}
	refusal := result.New(code)
	refusal.Detail = response.Header.Get(hop.HeaderDetail)
	millis, _ := strconv.ParseInt(response.Header.Get(hop.HeaderRetryAfter), 10, 64)
	refusal.RetryAfter = time.Duration(millis) * time.Millisecond
	return refusal
}
