package hop

import (
	"encoding/base64"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// wireCall is the encoded form of a call: an array without field names, with times in microseconds
// and the flags in one number, which keeps the traffic between data centres small.
type wireCall struct {
	_                 struct{} `cbor:",toarray"`
	BackendServer     string
	Flags             uint64
	TimeLeft          int64
	LatencyTargetLeft int64
	LatencyTarget     int64
	SlowAfter         int64
	Typical           int64
	Priority          int
	Customer          string
	Reservation       string
	Origin            string
	Host              string
	Baseline          string
}

// Flags of a call.
const (
	flagNonIdempotent uint64 = 1 << iota
	flagWantReservation
	flagDespiteSuspicion
	flagRefuseIfBusy
	flagRefuseIfHanging
	flagRetry
	flagLong
)

// callEncoding converts the encoded call to the text of a header.
var callEncoding = base64.RawURLEncoding

// Encode sets the header of the call.
func (c Call) Encode(h http.Header) error {
	data, err := cbor.Marshal(wireCall{
		BackendServer:     c.BackendServer,
		Flags:             c.flags(),
		TimeLeft:          c.TimeLeft.Microseconds(),
		LatencyTargetLeft: nonNegativeMicros(c.LatencyTargetLeft),
		LatencyTarget:     nonNegativeMicros(c.LatencyTarget),
		SlowAfter:         nonNegativeMicros(c.SlowAfter),
		Typical:           nonNegativeMicros(c.TypicalLatency),
		Priority:          c.Priority,
		Customer:          c.Customer,
		Reservation:       c.Reservation,
		Origin:            c.Origin,
		Host:              c.Host,
		Baseline:          c.Baseline,
	})
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	h[HeaderCall] = []string{callEncoding.EncodeToString(data)}
	EncodeLimit(h, c.ServerLimit)
	EncodeRoute(h, c.Route)
	return nil
}

// nonNegativeMicros returns the duration in microseconds, or zero if it is negative.
func nonNegativeMicros(left time.Duration) int64 { return max(0, left.Microseconds()) }

// flags returns the flags of the call as one number.
func (c Call) flags() uint64 {
	return bit(flagNonIdempotent, c.NonIdempotent) | bit(flagWantReservation, c.WantReservation) | bit(flagDespiteSuspicion, c.DespiteSuspicion) |
		bit(flagRefuseIfBusy, c.RefuseIfBusy) | bit(flagRefuseIfHanging, c.RefuseIfHanging) |
		bit(flagRetry, c.Retry) | bit(flagLong, c.Long)
}

// bit returns the flag if set is true, and zero otherwise.
func bit(flag uint64, set bool) uint64 {
	if set {
		return flag
	}
	return 0
}

// Decode reads the header of a call.
func Decode(h http.Header) (Call, error) {
	data, err := callEncoding.DecodeString(h.Get(HeaderCall))
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
	call := w.call()
	call.ServerLimit = DecodeLimit(h)
	call.Route = DecodeRoute(h)
	return call, nil
}

// call returns the decoded call.
func (w wireCall) call() Call {
	return Call{
		BackendServer:     w.BackendServer,
		TimeLeft:          micros(w.TimeLeft),
		LatencyTargetLeft: micros(w.LatencyTargetLeft),
		LatencyTarget:     micros(w.LatencyTarget),
		SlowAfter:         micros(w.SlowAfter),
		TypicalLatency:    micros(w.Typical),
		Priority:          w.Priority,
		Customer:          w.Customer,
		Reservation:       w.Reservation,
		Origin:            w.Origin,
		Host:              w.Host,
		Baseline:          w.Baseline,
		NonIdempotent:     w.Flags&flagNonIdempotent != 0,
		WantReservation:   w.Flags&flagWantReservation != 0,
		DespiteSuspicion:  w.Flags&flagDespiteSuspicion != 0,
		RefuseIfBusy:      w.Flags&flagRefuseIfBusy != 0,
		RefuseIfHanging:   w.Flags&flagRefuseIfHanging != 0,
		Retry:             w.Flags&flagRetry != 0,
		Long:              w.Flags&flagLong != 0,
	}
}

func micros(count int64) time.Duration { return time.Duration(count) * time.Microsecond }
