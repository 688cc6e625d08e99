package record

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/storehealth"
)

// TestARecordOutlivesItsLease guards against a record that is lost when the store is unavailable for longer than its
// lease, and against a new lease that is not renewed.
func TestARecordOutlivesItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		unavailable := func() bool { since := time.Since(startedAt); return since > 15*time.Second && since < time.Minute }
		var lease store.Lease
		var renewedAt time.Time
		kv := store.Store{
			Grant: func(context.Context, time.Duration) (store.Lease, error) {
				if unavailable() {
					return store.NoLease, errors.New("unavailable")
				}
				lease++
				renewedAt = time.Now()
				return lease, nil
			},
			Renew: func(_ context.Context, id store.Lease) error {
				switch {
				case unavailable():
					return errors.New("unavailable")
				case id != lease || time.Since(renewedAt) > leaseTTL:
					return store.ErrNoLease
				}
				renewedAt = time.Now()
				return nil
			},
			Commit: func(_ context.Context, change store.Change) (int64, error) {
				if key := change.Puts[0].Key; key != "tidelift/hosts/csepel/csepel-1" || change.Puts[0].Lease != lease {
					t.Errorf("wrote %s under lease %d", key, change.Puts[0].Lease)
				}
				return 1, nil
			},
		}
		r := New(Config{
			Host:          "csepel-1",
			Store:         kv,
			Prefix:        "tidelift",
			Health:        storehealth.New(storehealth.Config{Logger: slog.New(slog.DiscardHandler)}),
			Self:          func() member.Host { return member.Host{Name: "csepel-1", DataCentre: "csepel"} },
			OnShareUnused: func(time.Duration) {},
		})
		r.counted.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
		defer cancel()
		first := r.Write(ctx)
		time.AfterFunc(50*time.Second, func() {
			if r.ShareUsable() {
				t.Error("the share may be used while the record is not confirmed by the store")
			}
		})
		r.KeepAlive(ctx, first)
		if lease != first+1 || time.Since(renewedAt) > renewInterval || !r.ShareUsable() {
			t.Fatalf("lease %d, renewed %s ago; the share may be used: %t", lease, time.Since(renewedAt), r.ShareUsable())
		}
	})
}
