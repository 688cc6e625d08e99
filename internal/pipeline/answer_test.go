package pipeline

import (
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// TestAnswerMemory guards against memory that is not released, or taken beyond the bound, however answers end, and against
// answers that differ from what their handlers wrote.
func TestAnswerMemory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &memory{limit: rapid.IntRange(0, 20_000).Draw(r, "limit")}
		var handlers sync.WaitGroup
		for range rapid.IntRange(1, 4).Draw(r, "answers") {
			sizes := rapid.SliceOfN(rapid.IntRange(0, 3000), 0, 12).Draw(r, "sizes")
			aborts := rapid.Bool().Draw(r, "aborts")
			a := newAnswer(m, log.New(io.Discard, "", 0))
			handlers.Go(func() { writeAll(a, sizes, aborts) })
			if rapid.Bool().Draw(r, "dropped") {
				a.drop()
				continue
			}
			w := httptest.NewRecorder()
			if completed := deliverTo(a, w); completed == aborts {
				r.Fatalf("the answer is complete: %t, its handler aborted: %t", completed, aborts)
			}
			total := 0
			for _, size := range sizes {
				total += size
			}
			if w.Body.Len() != total || w.Header().Get("X-A") != "b" {
				r.Fatalf("delivered %d bytes, headers %v, want %d bytes", w.Body.Len(), w.Header(), total)
			}
		}
		handlers.Wait()
		if m.used != 0 {
			r.Fatalf("%d bytes are still taken", m.used)
		}
	})
}

// writeAll plays a handler that writes pieces of these sizes.
func writeAll(a *answer, sizes []int, aborts bool) {
	a.Header().Set("X-A", "b")
	a.WriteHeader(http.StatusOK)
	for n, size := range sizes {
		var err error
		if n%2 == 0 {
			_, err = a.Write(make([]byte, size))
		} else {
			_, err = io.WriteString(a, strings.Repeat("x", size))
		}
		if err != nil {
			break
		}
	}
	if aborts {
		a.end(http.ErrAbortHandler)
		return
	}
	a.end(nil)
}

// deliverTo delivers the answer and reports whether it is complete.
func deliverTo(a *answer, w http.ResponseWriter) (completed bool) {
	defer func() {
		if recover() == nil {
			completed = true
		}
	}()
	a.deliver(w)
	return completed
}
