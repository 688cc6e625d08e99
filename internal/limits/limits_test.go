package limits

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/quota"
)

// TestCollectorsShareTheirWork lets every host of a data centre choose its collector: all agree
// on a few, none of which has many more hosts than it should, and on one ledger.
func TestCollectorsShareTheirWork(t *testing.T) {
	for _, count := range []int{1, 3, 31, 100, 300} {
		hosts := make([]fleet.Host, 0, 2*count)
		for i := range count {
			hosts = append(hosts, fleet.Host{Name: fmt.Sprintf("csepel-%d", i), DataCentre: "csepel"}, fleet.Host{Name: fmt.Sprintf("obuda-%d", i), DataCentre: "obuda"})
		}
		collectors, ledgers := make(map[string]int), make(map[string]int)
		for _, h := range hosts {
			near, all := collectorOrder(hosts, h.Name, h.DataCentre)
			if near[0].DataCentre != h.DataCentre {
				t.Fatalf("%s reports to another data centre", h.Name)
			}
			collectors[near[0].Name]++
			ledgers[all[0].Name]++
		}
		if want := 2 * ((count + hostsPerCollector - 1) / hostsPerCollector); len(collectors) != want || len(ledgers) != 1 {
			t.Errorf("%d hosts: %d collectors, want %d; %d ledgers", count, len(collectors), want, len(ledgers))
		}
		for name, reports := range collectors {
			if reports > 2*hostsPerCollector {
				t.Errorf("%d hosts: %d report to %s", count, reports, name)
			}
		}
	}
}

// BenchmarkReport sends a collector a report of twelve customers, as a busy daemon does, and
// gets a verdict on two. Both ends are in the figure.
func BenchmarkReport(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	collector := quota.NewCollector()
	collector.SetVerdict(time.Now(), quota.Verdict{Known: true, Allowances: []quota.Allowance{{Customer: "county-1", Share: 0.5, Level: -3}, {Customer: "county-2", Share: 0.7, Level: 1}}})
	cleanUp := control.Serve(control.ServerConfig{Listener: listener, Handle: func(_ context.Context, _ control.Method, params json.RawMessage) (any, error) {
		var counted control.CountReport
		if err := control.Decode(params, &counted); err != nil {
			return nil, err
		}
		return collector.Add(time.Now(), counted.Report), nil
	}})
	defer cleanUp()
	client, cleanUp := control.NewClient(control.ClientConfig{})
	defer cleanUp()
	counted := control.CountReport{Report: quota.Report{From: "csepel-17", Hosts: 1}}
	for i := range 12 {
		counted.Report.Counts = append(counted.Report.Counts, quota.Count{Customer: fmt.Sprintf("county-%d", i), Requested: 2, Admitted: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		var verdict quota.Verdict
		if err := client.Call(context.Background(), listener.Addr().String(), control.MethodReportCounts, counted, &verdict); err != nil {
			b.Fatal(err)
		}
	}
}
