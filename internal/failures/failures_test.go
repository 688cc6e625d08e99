package failures

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/internal/result"
)

// TestEachCodeHasARow fails for a code of which nobody said what it means.
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

// TestRowsSayWhatTheirCodesSay holds the table to what the codes themselves promise.
func TestRowsSayWhatTheirCodesSay(t *testing.T) {
	for _, code := range result.All() {
		meaning := Classify(code)
		if code.Ran == result.RanUnknown && !meaning.Reached {
			t.Errorf("%s may have run, and is said to have reached no backend server", code.Name)
		}
		refusal := code.Status == http.StatusServiceUnavailable || code.Status == http.StatusTooManyRequests
		if refusal != meaning.NeedsRetryAfter && code.Number != result.Quarantined.Number {
			t.Errorf("%s has status %d, come back: %t", code.Name, code.Status, meaning.NeedsRetryAfter)
		}
		if meaning.PassedOver() && (meaning.Reached || meaning.Evidence != "") {
			t.Errorf("%s is passed over without a log line, and is more than a refusal", code.Name)
		}
	}
}

// failureMeanings is what each code means for a request and its target, where it means anything.
const failureMeanings = `
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

// TestWhatEachFailureMeans goes through every code.
func TestWhatEachFailureMeans(t *testing.T) {
	want := make(map[string]string)
	for line := range strings.Lines(strings.TrimSpace(failureMeanings)) {
		number, meaning, _ := strings.Cut(strings.TrimSpace(line), " ")
		want[number] = meaning
	}
	for _, code := range result.All() {
		if got, want := meaningOf(code), want[fmt.Sprint(code.Number)]; got != want {
			t.Errorf("%d %s: got %q, want %q", code.Number, code.Name, got, want)
		}
	}
}

// meaningOf returns what the code means, in words.
func meaningOf(code result.Code) string {
	meaning := Classify(code)
	var words []string
	add := func(is bool, word string) {
		if is {
			words = append(words, word)
		}
	}
	add(meaning.Final, "final")
	add(meaning.Target == QueueFull, "full")
	add(meaning.Reached, "reached")
	add(meaning.TakesNoWork(), "no-work")
	add(meaning.Target == HostUnreachable || meaning.Target == HostUnresponsive, "path")
	add(meaning.NeedsRetryAfter, "refusal")
	add(meaning.PassedOver(), "passed-over")
	outcome, seen := Evidence(code)
	add(seen, "evidence:"+string(outcome))
	return strings.Join(words, " ")
}
