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

// TestARecordOutlivesItsLease keeps a record while the store is away for longer than its lease: the record is
// written anew under another lease, which is renewed from then on.
func TestARecordOutlivesItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		away := func() bool { since := time.Since(began); return since > 15*time.Second && since < time.Minute }
		var lease store.Lease
		var renewed time.Time
		kv := store.Store{
			Grant: func(context.Context, time.Duration) (store.Lease, error) {
				if away() {
					return store.NoLease, errors.New("away")
				}
				lease++
				renewed = time.Now()
				return lease, nil
			},
			Renew: func(_ context.Context, asked store.Lease) error {
				switch {
				case away():
					return errors.New("away")
				case asked != lease || time.Since(renewed) > leaseFor:
					return store.ErrNoLease
				}
				renewed = time.Now()
				return nil
			},
			Commit: func(_ context.Context, change store.Change) (int64, error) {
				if key := change.Puts[0].Key; key != "tidelift/hosts/csepel-1" || change.Puts[0].Lease != lease {
					t.Errorf("%s is written under lease %d", key, change.Puts[0].Lease)
				}
				return 1, nil
			},
		}
		r := New(Config{
			Host:          "csepel-1",
			Store:         kv,
			Prefix:        "tidelift",
			Health:        storehealth.New(storehealth.Config{Logger: slog.New(slog.DiscardHandler)}),
			Self:          func() member.Host { return member.Host{Name: "csepel-1"} },
			OnShareUnused: func(time.Duration) {},
		})
		r.counted.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
		defer cancel()
		first := r.Write(ctx)
		time.AfterFunc(50*time.Second, func() {
			if r.ShareUsable() {
				t.Error("the part is used while nobody knows whether the store has the record")
			}
		})
		r.KeepAlive(ctx, first)
		if lease != first+1 || time.Since(renewed) > renewEvery || !r.ShareUsable() {
			t.Fatalf("lease %d, renewed %s ago; the part may be used: %t", lease, time.Since(renewed), r.ShareUsable())
		}
	})
}
