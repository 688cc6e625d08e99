package hop

import (
	"encoding/base64"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// wireCall is a call as it travels: a list without names, times in microseconds, and the
// flags in one number. Source: as headers of its own each, a call took some 500 bytes,
// of which its values were a tenth; requests and what is asked for them beforehand were
// half of the bytes between data centres.
type wireCall struct {
	_             struct{} `cbor:",toarray"`
	BackendServer string
	Flags         uint64
	TimeLeft      int64
	TargetLeft    int64
	LatencyTarget int64
	SlowAfter     int64
	Usual         int64
	Priority      int
	Customer      string
	Reservation   string
	Origin        string
	Host          string
	Baseline      string
}

// The flags of a call.
const (
	flagNonIdempotent uint64 = 1 << iota
	flagWantReservation
	flagDespiteSuspicion
	flagRefuseIfBusy
	flagRefuseIfHanging
	flagRetry
)

// callText turns the encoded call into a header's text.
var callText = base64.RawURLEncoding

// Encode writes the call's header.
func (c Call) Encode(h http.Header) error {
	data, err := cbor.Marshal(wireCall{
		BackendServer: c.BackendServer,
		Flags:         c.flags(),
		TimeLeft:      c.TimeLeft.Microseconds(),
		TargetLeft:    leftOf(c.TargetLeft),
		LatencyTarget: leftOf(c.LatencyTarget),
		SlowAfter:     leftOf(c.SlowAfter),
		Usual:         leftOf(c.TypicalLatency),
		Priority:      c.Priority,
		Customer:      c.Customer,
		Reservation:   c.Reservation,
		Origin:        c.Origin,
		Host:          c.Host,
		Baseline:      c.Baseline,
	})
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	h[HeaderCall] = []string{callText.EncodeToString(data)}
	return nil
}

// leftOf returns the time in microseconds; one that is over is zero.
func leftOf(left time.Duration) int64 { return max(0, left.Microseconds()) }

// flags returns the call's flags in one number.
func (c Call) flags() uint64 {
	return bit(flagNonIdempotent, c.NonIdempotent) | bit(flagWantReservation, c.WantReservation) | bit(flagDespiteSuspicion, c.DespiteSuspicion) |
		bit(flagRefuseIfBusy, c.RefuseIfBusy) | bit(flagRefuseIfHanging, c.RefuseIfHanging) |
		bit(flagRetry, c.Retry)
}

// bit returns the flag if it is set, and else zero.
func bit(flag uint64, set bool) uint64 {
	if set {
		return flag
	}
	return 0
}

// Decode reads the call's header.
func Decode(h http.Header) (Call, error) {
	data, err := callText.DecodeString(h.Get(HeaderCall))
	if err != nil {
		return Call{}, errors.Wrap(err, "read "+HeaderCall)
	}
	var w wireCall
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Call{}, errors.Wrap(err, "read "+HeaderCall)
	}
	if w.BackendServer == "" {
		return Call{}, errors.New(HeaderCall + " names no backend server")
	}
	return w.call(), nil
}

// call returns what the wire's form says.
func (w wireCall) call() Call {
	return Call{
		BackendServer:    w.BackendServer,
		TimeLeft:         micros(w.TimeLeft),
		TargetLeft:       micros(w.TargetLeft),
		LatencyTarget:    micros(w.LatencyTarget),
		SlowAfter:        micros(w.SlowAfter),
		TypicalLatency:   micros(w.Usual),
		Priority:         w.Priority,
		Customer:         w.Customer,
		Reservation:      w.Reservation,
		Origin:           w.Origin,
		Host:             w.Host,
		Baseline:         w.Baseline,
		NonIdempotent:    w.Flags&flagNonIdempotent != 0,
		WantReservation:  w.Flags&flagWantReservation != 0,
		DespiteSuspicion: w.Flags&flagDespiteSuspicion != 0,
		RefuseIfBusy:     w.Flags&flagRefuseIfBusy != 0,
		RefuseIfHanging:  w.Flags&flagRefuseIfHanging != 0,
		Retry:            w.Flags&flagRetry != 0,
	}
}

func micros(count int64) time.Duration { return time.Duration(count) * time.Microsecond }
