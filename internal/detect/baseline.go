package detect

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// minFailureRate and minSlowRate are the minimum baseline rates. Without them a single bad
	// observation would weigh without bound where the other servers show none.
	minFailureRate = 0.01
	minSlowRate    = 0.05
	// maxBaselineRate is the maximum baseline rate; it leaves room for an unhealthy server above it.
	maxBaselineRate = 0.9
	// minSamples is the number of observations from which a subject contributes to baselines. At
	// ten requests a minute to each, that takes less than a minute.
	minSamples = 8
)

// Baseline describes the recent behaviour of the service's other backend servers. The ingress
// sends it to the sidecar along with a request.
type Baseline struct {
	// Failure and Slow are the medians of the other servers' recent rates.
	Failure, Slow float64
	// FailureSum and SlowSum are the medians of their cumulative sums.
	FailureSum, SlowSum float64
	// TypicalLatency is the median of their response times. It is zero if unknown; only Failure can be
	// set then.
	TypicalLatency time.Duration
}

var unknownBaseline = Baseline{Failure: minFailureRate, Slow: minSlowRate}

func (b Baseline) known() bool { return b.TypicalLatency > 0 }

func (b Baseline) failure() float64 {
	return math.Min(math.Max(b.Failure, minFailureRate), maxBaselineRate)
}

func (b Baseline) slow() float64 {
	return math.Min(math.Max(b.Slow, minSlowRate), maxBaselineRate)
}

// encodingScale is the scale at which rates and sums are encoded as integers.
const encodingScale = 1000

// baselineFields is the number of fields of an encoded baseline.
const baselineFields = 5

// Encode returns the baseline as five comma-separated integers: failure rate, slow rate, failure
// sum and slow sum in thousandths, and the typical latency in microseconds. It returns "" if
// nothing is known.
func (b Baseline) Encode() string {
	if !b.known() && b.Failure == 0 {
		return ""
	}
	var text []byte
	for _, value := range []float64{b.Failure, b.Slow, b.FailureSum, b.SlowSum} {
		text = strconv.AppendInt(text, int64(value*encodingScale), 10)
		text = append(text, ',')
	}
	return string(strconv.AppendInt(text, b.TypicalLatency.Microseconds(), 10))
}

// ParseBaseline parses the output of Baseline.Encode.
func ParseBaseline(text string) (Baseline, error) {
	if text == "" {
		return Baseline{}, nil
	}
	var numbers [baselineFields]int64
	fields := 0
	for field := range strings.SplitSeq(text, ",") {
		number, err := strconv.ParseInt(field, 10, 32)
		if err != nil || number < 0 || fields == baselineFields {
			return Baseline{}, errors.Errorf("baseline %q: want %d non-negative integers", text, baselineFields)
		}
		numbers[fields] = number
		fields++
	}
	if fields != baselineFields {
		return Baseline{}, errors.Errorf("baseline %q: want %d fields, got %d", text, baselineFields, fields)
	}
	scaled := func(i int) float64 { return float64(numbers[i]) / encodingScale }
	return Baseline{
		Failure:        math.Min(1, scaled(0)),
		Slow:           math.Min(1, scaled(1)),
		FailureSum:     scaled(2),
		SlowSum:        scaled(3),
		TypicalLatency: time.Duration(numbers[4]) * time.Microsecond,
	}, nil
}

// Group is the set of backend servers of one service as one observer sees them. It holds state only
// of those that the observer has sent requests, which are few in a large service.
type Group struct {
	rules     Rules
	isMember  func(name string) bool
	subjects  map[string]*Subject
	others    map[string]Baseline
	ofUnknown Baseline // baseline of a backend server that has no subject
}

// NewGroup returns an empty group.
func NewGroup(rules Rules) *Group {
	return &Group{
		rules:    rules,
		isMember: func(string) bool { return false },
		subjects: make(map[string]*Subject),
		others:   make(map[string]Baseline),
	}
}

// Reconfigure sets the rules and the backend servers of the group. Servers that remain keep their
// observations.
func (g *Group) Reconfigure(rules Rules, isMember func(name string) bool) {
	g.rules, g.isMember = rules, isMember
	maps.DeleteFunc(g.subjects, func(name string, _ *Subject) bool { return !isMember(name) })
	for _, s := range g.subjects {
		s.SetRules(rules)
	}
	g.UpdateBaselines()
}

// Subject returns the subject of the named backend server, or false if it has none.
func (g *Group) Subject(name string) (*Subject, bool) {
	s, ok := g.subjects[name]
	return s, ok
}

// Observed returns the subject of a backend server that has been sent a request, and false if it is
// not a member of the group.
func (g *Group) Observed(name string) (*Subject, bool) {
	if s, ok := g.subjects[name]; ok {
		return s, true
	}
	if !g.isMember(name) {
		return nil, false
	}
	s := NewSubject(g.rules)
	g.subjects[name] = s
	return s, true
}

// Baseline returns the baseline of the named backend server as of the last call of UpdateBaselines.
func (g *Group) Baseline(name string) Baseline {
	if baseline, ok := g.others[name]; ok {
		return baseline
	}
	return g.ofUnknown
}

// IsOutlier reports whether the named backend server performs worse than the others; see
// Subject.IsOutlier.
func (g *Group) IsOutlier(name string) bool {
	subject, ok := g.subjects[name]
	if !ok {
		return false
	}
	since := subject.SuspectedSince()
	var others []Summary
	for other, s := range g.subjects {
		if other != name {
			others = append(others, s.Summary(since))
		}
	}
	return subject.IsOutlier(others)
}

// UpdateBaselines recalculates the baseline of each backend server from the others. It is called a few
// times per second; Baseline returns the last result in between.
func (g *Group) UpdateBaselines() {
	figures := newComparison(g.subjects, g.rules)
	clear(g.others)
	for name, s := range g.subjects {
		g.others[name] = figures.baselineWithout(s, g.rules)
	}
	g.ofUnknown = figures.baselineWithout(&Subject{}, g.rules)
}

// comparison holds the sorted figures of all subjects that have enough observations.
type comparison struct {
	failure, slow, failureSum, slowSum, logLatency []float64
}

func newComparison(subjects map[string]*Subject, rules Rules) comparison {
	var c comparison
	for _, s := range subjects {
		if !s.hasEnoughSamples() {
			continue
		}
		c.failure = append(c.failure, s.failure.baselineRate())
		c.slow = append(c.slow, s.slow.baselineRate())
		c.failureSum = append(c.failureSum, s.failure.total(rules))
		c.slowSum = append(c.slowSum, s.slow.total(rules))
		c.logLatency = append(c.logLatency, s.latency.logMedian)
	}
	for _, column := range [][]float64{c.failure, c.slow, c.failureSum, c.slowSum, c.logLatency} {
		slices.Sort(column)
	}
	return c
}

// hasEnoughSamples reports whether the subject has enough observations to contribute to baselines.
func (s *Subject) hasEnoughSamples() bool {
	return s.observed >= minSamples && s.latency.samples > 0
}

// baselineWithout returns the median of each figure, excluding the subject's own.
func (c comparison) baselineWithout(s *Subject, rules Rules) Baseline {
	included := s.hasEnoughSamples()
	if len(c.logLatency) == 0 || included && len(c.logLatency) == 1 {
		return Baseline{}
	}
	return Baseline{
		Failure:        medianWithout(c.failure, s.failure.baselineRate(), included),
		Slow:           medianWithout(c.slow, s.slow.baselineRate(), included),
		FailureSum:     medianWithout(c.failureSum, s.failure.total(rules), included),
		SlowSum:        medianWithout(c.slowSum, s.slow.total(rules), included),
		TypicalLatency: time.Duration(math.Exp(medianWithout(c.logLatency, s.latency.logMedian, included))),
	}
}

// medianWithout returns the median of the sorted values, the upper one of two, excluding the given
// value if it is among them.
func medianWithout(sorted []float64, value float64, included bool) float64 {
	if !included {
		return sorted[len(sorted)/2]
	}
	index, _ := slices.BinarySearch(sorted, value)
	median := (len(sorted) - 1) / 2
	if median >= index {
		median++
	}
	return sorted[median]
}

// latency estimates the median response time. Each sample moves the estimate by a bounded step on
// a logarithmic scale.
type latency struct {
	samples   int64
	logMedian float64
}

const (
	// latencyStep is the maximum step per sample, as a natural logarithm: 3%.
	latencyStep = 0.03
	// initialStep is the maximum step, 35%, for the first initialSamples samples, so that the estimate
	// converges quickly.
	initialStep    = 0.3
	initialSamples = 16
)

func (l *latency) add(sample time.Duration) {
	logSample := math.Log(math.Max(float64(sample), 1))
	l.samples++
	if l.samples == 1 {
		l.logMedian = logSample
		return
	}
	step := latencyStep
	if l.samples < initialSamples {
		step = initialStep
	}
	distance := logSample - l.logMedian
	l.logMedian += math.Max(-step, math.Min(step, distance))
}

// typical returns the estimated median response time, or zero without samples.
func (l *latency) typical() time.Duration {
	if l.samples == 0 {
		return 0
	}
	return time.Duration(math.Exp(l.logMedian))
}
