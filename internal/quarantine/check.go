package quarantine

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxEpoch bounds the epoch, which rises each time a request is cleared. No later epoch could replace one near the
	// greatest number.
	maxEpoch = 1 << 40
	// maxClockLead bounds how far the clock of another host may be ahead. The trial of a quarantined request waits until its
	// last end is in the past, and a record in the future does not expire.
	maxClockLead = time.Hour
	// maxNameBytes bounds the other texts of a record, in bytes.
	maxNameBytes = 256
)

// Check returns the first problem of a record that comes from another daemon or the store, or nil. Another writer may have
// left it there, and a daemon that takes it passes it on.
func (r Record) Check(now time.Time) error {
	if r.ID == "" {
		return errors.New("record names no request")
	}
	for _, text := range []string{r.ID, r.Service, r.Method, r.Host, r.Path, r.TrialHost, string(r.Cleared)} {
		if len(text) > maxNameBytes {
			return errors.Errorf("a text of the record has %d bytes; want at most %d", len(text), maxNameBytes)
		}
	}
	if r.Epoch < 0 || r.Epoch > maxEpoch {
		return errors.Errorf("epoch is %d; want 0 to %d", r.Epoch, int64(maxEpoch))
	}
	if r.NotRun < 0 || r.NotRun > r.trials() || r.trials() > maxEpoch {
		return errors.Errorf("%d of %d trials were given back; want at most %d", r.NotRun, r.trials(), int64(maxEpoch))
	}
	if len(r.Ends) > Limit {
		return errors.Errorf("record has %d ends; want at most %d", len(r.Ends), Limit)
	}
	return r.checkTimes(now)
}

// checkTimes returns the first problem of the record's times, or nil.
func (r Record) checkTimes(now time.Time) error {
	latest := now.Add(maxClockLead).UnixMilli()
	times := []int64{r.ClearedUntil, r.Changed}
	for _, end := range r.Ends {
		if len(end.Server) > maxNameBytes {
			return errors.Errorf("the name of a backend server has %d bytes; want at most %d", len(end.Server), maxNameBytes)
		}
		times = append(times, end.At)
	}
	for _, at := range times {
		if at < 0 || at > latest {
			return errors.Errorf("a time of the record is %d ms; want 0 to %d", at, latest)
		}
	}
	return nil
}
