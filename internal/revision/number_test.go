package revision_test

import (
	"context"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/revision"
	"github.com/tideliftd/tidelift/internal/store"
)

// TestGreatestRevisionIsNotFollowed guards against a declaration that nothing replaces, since another writer has given it the
// greatest number.
func TestGreatestRevisionIsNotFollowed(t *testing.T) {
	l, s := newLedger(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan revision.Revision, 4)
	go l.Follow(ctx, 0, func(r revision.Revision) { got <- r })
	s.Write("tidelift/root", []byte(`{"revision":9223372036854775807,"changes":[{"id":"x","revision":9223372036854775807}]}`))
	if _, code := publish(l, "a", math.MaxInt64, "text"); code == 0 {
		t.Error("a change was published on top of the greatest revision")
	}
	s.Write("tidelift/root", []byte(`{"revision":0}`))
	if _, code := publish(l, "a", 0, "text"); code != 0 {
		t.Fatalf("code %d", code)
	}
	if r := receive(t, got); r.Number != 1 {
		t.Errorf("revision %d is in force, want 1", r.Number)
	}
}

// TestGreatestKeyedRevisionIsNotFollowed guards against the same in the key of another system.
func TestGreatestKeyedRevisionIsNotFollowed(t *testing.T) {
	values := []string{"9223372036854775807", "-1", "7"}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	next := 0
	read := func() (store.Batch, error) {
		if next == len(values) {
			<-ctx.Done()
			return store.Batch{}, ctx.Err()
		}
		next++
		return store.Batch{Items: []store.Item{{Key: "k", Data: []byte(values[next-1])}}, Revision: int64(next)}, nil
	}
	got := make(chan revision.Revision, 4)
	invalid := 0
	go revision.FollowKey(ctx, revision.KeyConfig{
		Store: store.Store{
			List:  func(context.Context, string) (store.Batch, error) { return read() },
			Watch: func(context.Context, string, int64, time.Duration) (store.Batch, error) { return read() },
		},
		Key: "k", Prefix: "k",
		Number:    func(data []byte) (int64, error) { return strconv.ParseInt(string(data), 10, 64) },
		Redact:    func(data []byte) ([]byte, error) { return data, nil },
		OnBatch:   func(store.Batch) {},
		OnInvalid: func(error) { invalid++ },
		OnError:   func(error) {}, OnAnswer: func() {},
	}, 0, func(r revision.Revision) { got <- r })
	if r := receive(t, got); r.Number != 7 || invalid != 2 {
		t.Errorf("revision %d is in force, %d are invalid; want 7 and 2", r.Number, invalid)
	}
}
