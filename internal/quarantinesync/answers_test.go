package quarantinesync

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/fingerprint"
)

// TestRecentAnswersAreBounded guards against answers that are remembered without a bound on their number, their bytes or
// their age, and against one that is mistaken for that of a request with another body.
func TestRecentAnswersAreBounded(t *testing.T) {
	r := fingerprint.Request{Method: "POST", Host: "a.example", Path: "/x"}
	remembers := func(a *recentAnswers, body string) bool {
		r := r
		r.Body = func(int) ([]byte, error) { return []byte(body), nil }
		id, err := r.Digest()
		if err != nil {
			t.Fatal(err)
		}
		_, ok := a.last(r.HeadHash(), id)
		return ok
	}
	start := time.Now()
	tests := map[string]func(*recentAnswers){
		"number": func(a *recentAnswers) {
			for n := range maxAnswers {
				a.add(start, r, fmt.Append(nil, n))
			}
		},
		"bytes": func(a *recentAnswers) {
			for n := range maxAnswerBytes/fingerprint.MaxBodyBytes + 1 {
				a.add(start, r, []byte(strings.Repeat(fmt.Sprint(n), fingerprint.MaxBodyBytes)))
			}
		},
		"age": func(a *recentAnswers) { a.add(start.Add(answerTTL+time.Millisecond), r, nil) },
	}
	for name, fill := range tests {
		t.Run(name, func(t *testing.T) {
			var a recentAnswers
			a.add(start, r, []byte("first"))
			if !remembers(&a, "first") || remembers(&a, "another") {
				t.Fatal("the answer of the first request is not remembered, or that of another is")
			}
			fill(&a)
			if remembers(&a, "first") {
				t.Error("the first answer is still remembered")
			}
			if a.count > maxAnswers || a.bytes > maxAnswerBytes {
				t.Errorf("%d answers with %d bytes are remembered", a.count, a.bytes)
			}
		})
	}
}
