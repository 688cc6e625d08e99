package record

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/storehealth"
	"github.com/tideliftd/tidelift/platform"
	"github.com/tideliftd/tidelift/test/standin"
)

// TestEarlierRecordIsReadBeforeItIsReplaced guards against a start that overwrites what only the store remembers of an
// earlier incarnation: the backend servers that have left, which Update has written.
func TestEarlierRecordIsReadBeforeItIsReplaced(t *testing.T) {
	server := httptest.NewServer(standin.New().Handler())
	defer server.Close()
	kv, cleanUp := platform.NewStore(platform.StoreConfig{Address: server.URL})
	defer cleanUp()
	start := func(self *member.Host) *Record {
		r := New(Config{
			Host: "csepel-1", Store: kv, Prefix: "tidelift", Logger: slog.New(slog.DiscardHandler),
			Health: storehealth.New(storehealth.Config{Logger: slog.New(slog.DiscardHandler)}),
			Self:   func() member.Host { return *self },
			OnHosts: func(hosts []member.Host) {
				for _, h := range hosts {
					self.Left = append(self.Left, h.Left...)
				}
			},
			OnShareUnused: func(time.Duration) {},
		})
		r.Write(context.Background())
		<-r.Written()
		return r
	}
	self := member.Host{Name: "csepel-1", DataCentre: "csepel"}
	first := start(&self)
	self.Left = []string{"i-1"}
	if err := first.Update(context.Background()); err != nil {
		t.Fatal(err)
	}
	for range 2 { // the second one reads what the first has written in its place
		restarted := member.Host{Name: "csepel-1", DataCentre: "csepel"}
		start(&restarted)
		if !slices.Equal(restarted.Left, self.Left) {
			t.Fatalf("a later start knows %v, want %v", restarted.Left, self.Left)
		}
	}
}
