package detect

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// normalFailure and normalSlow are the least rates of bad observations that count as normal:
	// where the others show none, one would otherwise weigh without bound. Measured together with
	// Rules, not alone.
	normalFailure = 0.01
	normalSlow    = 0.05
	// maxNormal is the greatest rate that counts as normal, so that there is room for a sick one
	// above it. Not measured.
	maxNormal = 0.9
	// minSamples is how many observations make a subject fit to compare others with. Not measured:
	// at ten requests a minute to each it takes less than a minute.
	minSamples = 8
)

// Baseline is how the service's other backend servers do of late. Beside a
// request it travels from the ingress to the sidecar.
type Baseline struct {
	// Failure and Slow are the middle of the others' recent rates.
	Failure, Slow float64
	// FailureSum and SlowSum are the middle of their cumulative sums.
	FailureSum, SlowSum float64
	// TypicalLatency is the middle of the times they take; zero if it is not known, and nothing but Failure is then.
	TypicalLatency time.Duration
}

var unknownBaseline = Baseline{Failure: normalFailure, Slow: normalSlow}

func (r Baseline) known() bool { return r.TypicalLatency > 0 }

func (r Baseline) failure() float64 {
	return math.Min(math.Max(r.Failure, normalFailure), maxNormal)
}

func (r Baseline) slow() float64 {
	return math.Min(math.Max(r.Slow, normalSlow), maxNormal)
}

// thousand is the part in which rates and sums are written.
const thousand = 1000

// baselineFields is how many numbers an encoded baseline has.
const baselineFields = 5

// Encode returns the baseline as five numbers: failure, slow, failure sum and
// slow sum in thousandths, and the typical time in microseconds. It returns ""
// if nothing is known.
func (r Baseline) Encode() string {
	if !r.known() && r.Failure == 0 {
		return ""
	}
	var text []byte
	for _, value := range []float64{r.Failure, r.Slow, r.FailureSum, r.SlowSum} {
		text = strconv.AppendInt(text, int64(value*thousand), 10)
		text = append(text, ',')
	}
	return string(strconv.AppendInt(text, r.TypicalLatency.Microseconds(), 10))
}

// ParseBaseline reads what Encode wrote.
func ParseBaseline(text string) (Baseline, error) {
	if text == "" {
		return Baseline{}, nil
	}
	var numbers [baselineFields]int64
	fields := 0
	for field := range strings.SplitSeq(text, ",") {
		number, err := strconv.ParseInt(field, 10, 32)
		if err != nil || number < 0 || fields == baselineFields {
			return Baseline{}, errors.Errorf("reference %q: want %d numbers of 0 or more", text, baselineFields)
		}
		numbers[fields] = number
		fields++
	}
	if fields != baselineFields {
		return Baseline{}, errors.Errorf("reference %q: want %d numbers, not %d", text, baselineFields, fields)
	}
	share := func(i int) float64 { return float64(numbers[i]) / thousand }
	return Baseline{
		Failure:        math.Min(1, share(0)),
		Slow:           math.Min(1, share(1)),
		FailureSum:     share(2),
		SlowSum:        share(3),
		TypicalLatency: time.Duration(numbers[4]) * time.Microsecond,
	}, nil
}

// Group is the backend servers of one service as one observer sees them.
type Group struct {
	rules    Rules
	subjects map[string]*Subject
	others   map[string]Baseline
}

// NewGroup returns an empty group.
func NewGroup(rules Rules) *Group {
	return &Group{rules: rules, subjects: make(map[string]*Subject), others: make(map[string]Baseline)}
}

// Reconfigure takes the rules and the names of the backend servers. Those that
// were there keep what was observed.
func (g *Group) Reconfigure(rules Rules, names []string) {
	g.rules = rules
	next := make(map[string]*Subject, len(names))
	for _, name := range names {
		s, ok := g.subjects[name]
		if !ok {
			s = NewSubject(rules)
		}
		s.SetRules(rules)
		next[name] = s
	}
	g.subjects = next
	g.UpdateBaselines()
}

// Subject returns the backend server of that name.
func (g *Group) Subject(name string) (*Subject, bool) {
	s, ok := g.subjects[name]
	return s, ok
}

// Baseline returns how the others than the one named did at the last Compare.
func (g *Group) Baseline(name string) Baseline { return g.others[name] }

// IsOutlier reports whether the backend server named does worse than the others; see
// Subject.IsOutlier.
func (g *Group) IsOutlier(name string) bool {
	suspected, ok := g.subjects[name]
	if !ok {
		return false
	}
	since := suspected.SuspectedSince()
	var others []Summary
	for other, s := range g.subjects {
		if other != name {
			others = append(others, s.Summary(since))
		}
	}
	return suspected.IsOutlier(others)
}

// UpdateBaselines works out for each backend server how the others do. It is called a
// few times a second; in between the last result stands.
func (g *Group) UpdateBaselines() {
	table := newComparison(g.subjects, g.rules)
	clear(g.others)
	for name, s := range g.subjects {
		g.others[name] = table.without(s, g.rules)
	}
}

// comparison is the sorted figures of the subjects that are known well enough.
type comparison struct {
	failure, slow, failureSum, slowSum, logTime []float64
}

func newComparison(subjects map[string]*Subject, rules Rules) comparison {
	var c comparison
	for _, s := range subjects {
		if !s.comparable() {
			continue
		}
		c.failure = append(c.failure, s.failure.normal())
		c.slow = append(c.slow, s.slow.normal())
		c.failureSum = append(c.failureSum, s.failure.total(rules))
		c.slowSum = append(c.slowSum, s.slow.total(rules))
		c.logTime = append(c.logTime, s.latency.logMiddle)
	}
	for _, column := range [][]float64{c.failure, c.slow, c.failureSum, c.slowSum, c.logTime} {
		slices.Sort(column)
	}
	return c
}

// comparable reports whether enough is known of the subject to hold others to it.
func (s *Subject) comparable() bool {
	return s.observed >= minSamples && s.latency.samples > 0
}

// without returns the middle of each figure, the subject's own left out.
func (c comparison) without(s *Subject, rules Rules) Baseline {
	own := s.comparable()
	if len(c.logTime) == 0 || own && len(c.logTime) == 1 {
		return Baseline{}
	}
	return Baseline{
		Failure:        middleWithout(c.failure, s.failure.normal(), own),
		Slow:           middleWithout(c.slow, s.slow.normal(), own),
		FailureSum:     middleWithout(c.failureSum, s.failure.total(rules), own),
		SlowSum:        middleWithout(c.slowSum, s.slow.total(rules), own),
		TypicalLatency: time.Duration(math.Exp(middleWithout(c.logTime, s.latency.logMiddle, own))),
	}
}

// middleWithout returns the median, the upper one of two, of the sorted values
// without the one given, if it is among them.
func middleWithout(sorted []float64, value float64, among bool) float64 {
	if !among {
		return sorted[len(sorted)/2]
	}
	place, _ := slices.BinarySearch(sorted, value)
	middle := (len(sorted) - 1) / 2
	if middle >= place {
		middle++
	}
	return sorted[middle]
}

// latency follows the middle of the times taken, as a logarithm that each time
// taken moves by one step.
type latency struct {
	samples   int64
	logMiddle float64
}

const (
	// latencyStep is how far one time taken moves the middle at most, as a natural logarithm: 3%.
	// Measured together with Rules, not alone.
	latencyStep = 0.03
	// firstStep is the step for the first firstSamples times, so that the middle is found soon:
	// 35% each. Measured together with Rules, not alone.
	firstStep    = 0.3
	firstSamples = 16
)

func (l *latency) add(took time.Duration) {
	value := math.Log(math.Max(float64(took), 1))
	l.samples++
	if l.samples == 1 {
		l.logMiddle = value
		return
	}
	step := latencyStep
	if l.samples < firstSamples {
		step = firstStep
	}
	distance := value - l.logMiddle
	l.logMiddle += math.Max(-step, math.Min(step, distance))
}

// Typical returns the middle of the times taken.
func (l *latency) typical() time.Duration {
	if l.samples == 0 {
		return 0
	}
	return time.Duration(math.Exp(l.logMiddle))
}
