package failures

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/internal/result"
)

// TestEachCodeHasARow guards against a result code without a classification.
func TestEachCodeHasARow(t *testing.T) {
	for _, code := range result.All() {
		if _, ok := table[code.Number]; !ok {
			t.Errorf("%d %s has no row", code.Number, code.Name)
		}
	}
	if len(table) != len(result.All()) {
		t.Errorf("%d rows for %d codes", len(table), len(result.All()))
	}
}

// TestRowsMatchTheirCodes guards against a classification that contradicts its result code.
func TestRowsMatchTheirCodes(t *testing.T) {
	for _, code := range result.All() {
		class := Classify(code)
		if code.Ran == result.RanUnknown && !class.Reached {
			t.Errorf("%s may have run, but is classified as not having reached a backend server", code.Name)
		}
		refusal := code.Status == http.StatusServiceUnavailable || code.Status == http.StatusTooManyRequests
		if refusal != class.NeedsRetryAfter && code.Number != result.Quarantined.Number {
			t.Errorf("%s has status %d, retry-after: %t", code.Name, code.Status, class.NeedsRetryAfter)
		}
		if class.PassedOver() && (class.Reached || class.Evidence != "") {
			t.Errorf("%s is passed over without a log line, but is not only a refusal", code.Name)
		}
	}
}

// failureClasses lists the expected classification of each code that has one.
const failureClasses = `
1001 final
2001 refusal
2002 no-work refusal
2003 refusal
2004 full refusal passed-over
2005 full refusal passed-over
2006 final refusal
2007 no-work refusal
2008 no-work refusal
2009 path refusal evidence:refused
2010 refusal evidence:refused
2011 refusal
2012 final
2013 no-work refusal
2014 final
2015 path refusal evidence:timed-out
2016 final refusal
2017 reached refusal
2018 reached refusal
2019 no-work refusal passed-over
2020 refusal passed-over
2021 refusal passed-over
2022 refusal
2023 refusal passed-over
2024 refusal
2025 final
2027 no-work refusal
2028 refusal passed-over
2029 full refusal passed-over
2030 full refusal passed-over
3001 final reached evidence:timed-out
3002 reached evidence:lost
3003 reached evidence:lost
3004 final reached
3005 reached evidence:lost
3006 reached evidence:timed-out
3007 reached evidence:lost
3008 reached evidence:error
3009 reached
3010 reached
4003 refusal
4005 reached
4008 reached refusal
`

// TestClassify compares the classification of every code with failureClasses.
func TestClassify(t *testing.T) {
	want := make(map[string]string)
	for line := range strings.Lines(strings.TrimSpace(failureClasses)) {
		number, class, _ := strings.Cut(strings.TrimSpace(line), " ")
		want[number] = class
	}
	for _, code := range result.All() {
		if got, want := describe(code), want[fmt.Sprint(code.Number)]; got != want {
			t.Errorf("%d %s: got %q, want %q", code.Number, code.Name, got, want)
		}
	}
}

// describe returns the classification of the code as words.
func describe(code result.Code) string {
	class := Classify(code)
	var words []string
	add := func(is bool, word string) {
		if is {
			words = append(words, word)
		}
	}
	add(class.Final, "final")
	add(class.Target == QueueFull, "full")
	add(class.Reached, "reached")
	add(class.Unavailable(), "no-work")
	add(class.Target == HostUnreachable || class.Target == HostUnresponsive, "path")
	add(class.NeedsRetryAfter, "refusal")
	add(class.PassedOver(), "passed-over")
	outcome, seen := Evidence(code)
	add(seen, "evidence:"+string(outcome))
	return strings.Join(words, " ")
}
