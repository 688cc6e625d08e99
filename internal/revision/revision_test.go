package revision_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/revision"
	"github.com/tideliftd/tidelift/platform"
	"github.com/tideliftd/tidelift/test/standin"
)

func newLedger(t *testing.T) (*revision.Ledger, *standin.Standin) {
	t.Helper()
	s := standin.New()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	kv, cleanUp := platform.NewStore(platform.StoreConfig{Address: server.URL})
	t.Cleanup(cleanUp)
	return revision.New(revision.Config{Store: kv, Prefix: "tidelift"}), s
}

func publish(l *revision.Ledger, id string, base int64, yaml string) (int64, int) {
	accepted, err := l.Publish(context.Background(), revision.Change{ID: id, Base: base, YAML: yaml, Author: "erzsi"})
	if err != nil {
		return 0, result.From(err).Code.Number
	}
	return accepted.Revision, 0
}

func TestPublish(t *testing.T) {
	l, _ := newLedger(t)
	tests := []struct {
		name     string
		id       string
		base     int64
		yaml     string
		revision int64
		code     int
	}{
		{"the first", "a", 0, "one", 1, 0},
		{"the same change again", "a", 0, "one", 1, 0},
		{"the same id with other content", "a", 1, "two", 0, result.ChangeIDReused.Number},
		{"based on a superseded revision", "b", 0, "two", 0, result.RevisionChanged.Number},
		{"the second", "b", 1, "two", 2, 0},
		{"the first again, later", "a", 0, "one", 1, 0},
		{"too large", "c", 2, strings.Repeat("x", 17<<20), 0, result.ValueTooLarge.Number},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, code := publish(l, test.id, test.base, test.yaml)
			if got != test.revision || code != test.code {
				t.Fatalf("revision %d, code %d", got, code)
			}
		})
	}
}

// TestPublishWithLostAnswer guards against a change that is lost or published twice
// because the store applied a write and its answer was lost.
func TestPublishWithLostAnswer(t *testing.T) {
	l, s := newLedger(t)
	for i, key := range []string{"/parts/", "/root", "/"} {
		s.SetLoseResponses(key)
		base := int64(i)
		if got, code := publish(l, key, base, "text for "+key); got != base+1 || code != 0 {
			t.Fatalf("answers of %s lost: revision %d, code %d", key, got, code)
		}
		if got, code := publish(l, key, base, "text for "+key); got != base+1 || code != 0 {
			t.Fatalf("answers of %s lost, again: revision %d, code %d", key, got, code)
		}
	}
}

// TestConcurrentPublish guards against more than one change on the same base: one
// succeeds, the others are refused.
func TestConcurrentPublish(t *testing.T) {
	l, _ := newLedger(t)
	const operators = 8
	var wg sync.WaitGroup
	codes := make([]int, operators)
	for i := range operators {
		wg.Go(func() {
			_, codes[i] = publish(l, fmt.Sprint(i), 0, fmt.Sprint("text ", i))
		})
	}
	wg.Wait()
	succeeded := 0
	for _, code := range codes {
		switch code {
		case 0:
			succeeded++
		case result.RevisionChanged.Number:
		default:
			t.Errorf("code %d", code)
		}
	}
	if succeeded != 1 {
		t.Fatalf("%d changes succeeded, want 1: %v", succeeded, codes)
	}
}

// TestFollow guards against revisions that are incomplete, or missed after an outage.
func TestFollow(t *testing.T) {
	l, s := newLedger(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan revision.Revision, 4)
	go l.Follow(ctx, 0, func(r revision.Revision) { got <- r })
	long := strings.Repeat("0123456789", 100_000)
	if _, code := publish(l, "a", 0, long); code != 0 {
		t.Fatalf("code %d", code)
	}
	if r := receive(t, got); r.Number != 1 || r.YAML != long {
		t.Fatalf("revision %d of %d bytes", r.Number, len(r.YAML))
	}
	s.SetOutage(true)
	s.SetOutage(false)
	if _, code := publish(l, "b", 1, "short"); code != 0 {
		t.Fatalf("code %d", code)
	}
	if r := receive(t, got); r.Number != 2 || r.YAML != "short" {
		t.Fatalf("revision %d: %q", r.Number, r.YAML)
	}
}

func receive(t *testing.T, from <-chan revision.Revision) revision.Revision {
	t.Helper()
	select {
	case r := <-from:
		return r
	case <-time.After(20 * time.Second):
		t.Fatal("timed out waiting for a revision")
		return revision.Revision{}
	}
}
