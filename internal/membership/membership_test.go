package membership_test

import (
	"context"
	"log/slog"
	"testing"

	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/membership"
	"github.com/tideliftd/tidelift/internal/record"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/storehealth"
)

// TestDeclaredHostMayUseShareImmediately guards against a declared host that waits to use its share, and
// against a host that registers itself and uses it before it has counted the others.
func TestDeclaredHostMayUseShareImmediately(t *testing.T) {
	for _, registers := range []bool{false, true} {
		m := membership.New(membership.Config{Self: member.Host{Name: "csepel-1"}, Registers: registers})
		if got := m.ShareUsable(); got == registers {
			t.Errorf("hosts register themselves: %t; share usable: %t", registers, got)
		}
	}
}

// TestADeclaredHostClaimsItsFirstStart guards against a declared host that writes a record, or anything but
// the key of its first start, to the store.
func TestADeclaredHostClaimsItsFirstStart(t *testing.T) {
	var keys []string
	m := membership.New(membership.Config{
		Self: member.Host{Name: "csepel-1"},
		Record: record.Config{
			Host:       "csepel-1",
			Prefix:     "tidelift",
			FirstStart: true,
			Health:     storehealth.New(storehealth.Config{Logger: slog.New(slog.DiscardHandler)}),
			Store: store.Store{Commit: func(_ context.Context, change store.Change) (int64, error) {
				for _, put := range change.Puts {
					keys = append(keys, put.Key)
				}
				return 1, store.ErrConflict
			}},
		},
	})
	m.Run(t.Context())
	if len(keys) != 1 || keys[0] != "tidelift/started/csepel-1" {
		t.Fatalf("wrote %v", keys)
	}
}
