package record

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/storehealth"
)

// TestStartReadsFewRecords guards against a start of a fleet in which each daemon reads the records of
// all others, so that the reads of the store grow with the square of the hosts.
func TestStartReadsFewRecords(t *testing.T) {
	const dataCentres = 5
	for _, hosts := range []int{30, 100, 300, 1000, 4500} {
		items := make([]store.Item, 0, hosts)
		for n := range hosts {
			h := member.Host{Name: fmt.Sprintf("host-%d", n), DataCentre: fmt.Sprintf("dc%d", n%dataCentres)}
			data, err := json.Marshal(h)
			if err != nil {
				t.Fatal(err)
			}
			items = append(items, store.Item{Key: "tidelift/hosts/" + h.DataCentre + "/" + h.Name, Data: data})
		}
		calls, read, complete := 0, 0, 0
		kv := store.Store{List: func(_ context.Context, prefix string) (store.Batch, error) {
			calls++
			var batch store.Batch
			for _, item := range items {
				if strings.HasPrefix(item.Key, prefix) {
					batch.Items = append(batch.Items, item)
				}
			}
			read += len(batch.Items)
			return batch, nil
		}}
		local := hosts / dataCentres
		// So many that no complete read among them is chance in less than one run of a million.
		starts := max(300, 14*local/listingDaemons)
		for n := range starts {
			r := New(Config{
				Store: kv, Prefix: "tidelift", Health: storehealth.New(storehealth.Config{Logger: slog.New(slog.DiscardHandler)}),
				Self:    func() member.Host { return member.Host{Name: "self", DataCentre: fmt.Sprintf("dc%d", n%dataCentres)} },
				OnHosts: func([]member.Host) {},
			})
			if r.Discover(t.Context()) {
				complete++
			}
		}
		if calls > 2*starts {
			t.Errorf("%d hosts: %d calls for %d starts, want at most two each", hosts, calls, starts)
		}
		// Twice the expected number of complete reads leaves room for chance.
		if most := starts*local + 2*starts*min(local, listingDaemons)/local*hosts + starts*hosts/10; read > most {
			t.Errorf("%d hosts: %d records read in %d starts, want at most %d", hosts, read, starts, most)
		}
		if complete == 0 {
			t.Errorf("%d hosts: no daemon read the records of other data centres", hosts)
		}
	}
}
