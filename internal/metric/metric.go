// Package metric sets up the daemon's metrics and the page from which they are scraped.
//
// # Usage
//
//	metrics, cleanUp := metric.New(metric.Config{DataCentre: "csepel"})
//	defer cleanUp()
//	metrics.Scope.Counter("requests").Inc(1)
//	http.Handle("/metrics", metrics.Handler)
//
// The package owns the registry and the goroutine that updates it; callers choose names and tags.
// Names have the prefix tidelift_. Times are in seconds unless the name states another unit. Every
// refusal and retry reason is a value of the tag "reason", taken from package result.
package metric

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/tideliftd/tidelift/internal/result"
)

// reportInterval is the maximum age of the values on the metrics page.
const reportInterval = time.Second

// Config configures metrics.
type Config struct {
	// DataCentre tags every metric.
	DataCentre string
}

// Metrics holds the root scope and the handler of the metrics page.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
}

// New returns the metrics and a function that stops reporting them.
func New(config Config) (Metrics, func()) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "tidelift",
		Tags:           map[string]string{"data_centre": config.DataCentre},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return Metrics{Scope: scope, Handler: reporter.HTTPHandler()}, closeQuietly(closer)
}

func closeQuietly(closer io.Closer) func() {
	return func() { _ = closer.Close() }
}

// Reasons counts events by result code, with the tag "reason". It is safe for concurrent use.
type Reasons struct {
	counters map[int]tally.Counter
}

// NewReasons returns Reasons with a counter of the given name for each result code.
func NewReasons(scope tally.Scope, name string) Reasons {
	counters := make(map[int]tally.Counter)
	for _, code := range result.All() {
		counters[code.Number] = scope.Tagged(map[string]string{"reason": code.Name}).Counter(name)
	}
	return Reasons{counters: counters}
}

// Inc increments the counter of the code. It ignores codes that are not in result.All.
func (r Reasons) Inc(code result.Code) {
	if counter, ok := r.counters[code.Number]; ok {
		counter.Inc(1)
	}
}
