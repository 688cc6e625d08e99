// Package metric sets up the daemon's metrics and their page for scraping.
//
// # Usage
//
//	metrics, cleanUp := metric.New(metric.Config{DataCentre: "csepel"})
//	defer cleanUp()
//	metrics.Scope.Counter("requests").Inc(1)
//	http.Handle("/metrics", metrics.Handler)
//
// It owns the registry and the task that moves counts there; names and tags belong to whoever
// counts. Names carry the prefix tidelift_. Times are in seconds unless the name says
// otherwise. Every refusal and retry reason is a value of the tag "reason", taken from package
// result.
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

// reportEvery is how old the figures of the page may be. Not measured: pages are scraped every
// ten seconds or more.
const reportEvery = time.Second

// Config configures metrics.
type Config struct {
	// DataCentre tags every metric.
	DataCentre string
}

// Metrics is the root scope and the page for scraping.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
}

// New returns the metrics and a function that stops their reporting.
func New(config Config) (Metrics, func()) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "tidelift",
		Tags:           map[string]string{"data_centre": config.DataCentre},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportEvery)
	return Metrics{Scope: scope, Handler: reporter.HTTPHandler()}, closeQuietly(closer)
}

func closeQuietly(closer io.Closer) func() {
	return func() { _ = closer.Close() }
}

// Reasons counts by result code, in the tag "reason". It is safe for concurrent use.
type Reasons struct {
	counters map[int]tally.Counter
}

// NewReasons returns a counter of that name for each result code.
func NewReasons(scope tally.Scope, name string) Reasons {
	counters := make(map[int]tally.Counter)
	for _, code := range result.All() {
		counters[code.Number] = scope.Tagged(map[string]string{"reason": code.Name}).Counter(name)
	}
	return Reasons{counters: counters}
}

// Inc counts one of that code. A code that result.All does not have counts nothing.
func (r Reasons) Inc(code result.Code) {
	if counter, ok := r.counters[code.Number]; ok {
		counter.Inc(1)
	}
}
