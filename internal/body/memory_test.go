package body_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/body"
)

var customer = body.Holder{Kind: body.HolderCustomer, Name: "library-12"}

func newMemory(limit int64) *body.Memory {
	return body.NewMemory(body.MemoryConfig{Limit: limit, Scope: tally.NoopScope})
}

// upload returns a request with a body of that size, and the body, which is not prepared yet.
func upload(memory *body.Memory, holder body.Holder, size int, chunked bool) (*http.Request, *body.Body) {
	var sent io.Reader = strings.NewReader(strings.Repeat("x", size))
	if chunked {
		sent = io.MultiReader(sent) // hides the length from net/http
	}
	r := httptest.NewRequest(http.MethodPost, "/", sent)
	b := body.New(&deadlines{ResponseRecorder: httptest.NewRecorder()}, r, 1<<20)
	b.ChargeTo(memory, holder)
	return r, b
}

func prepare(b *body.Body) error { return b.Prepare(time.Now().Add(time.Minute)) }

// TestWhatABodyTakes guards against a body that takes more or less than is buffered of it.
func TestWhatABodyTakes(t *testing.T) {
	tests := []struct {
		name               string
		size               int
		chunked            bool
		prepared, streamed int64
	}{
		{"short", 300, false, 300, 300},
		{"as long as is kept", 64 << 10, false, 64 << 10, 64 << 10},
		{"longer than is kept", 360_000, false, 64 << 10, 64 << 10},
		{"short, of unknown length", 300, true, 4 << 10, 4 << 10},
		{"longer, of unknown length", 20_000, true, 4 << 10, 20 << 10},
		{"longer than is kept, of unknown length", 360_000, true, 4 << 10, 64 << 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			memory := newMemory(1 << 20)
			r, b := upload(memory, customer, test.size, test.chunked)
			if err := prepare(b); err != nil || memory.Used() != test.prepared {
				t.Errorf("prepared with %v, %d bytes used, want %d", err, memory.Used(), test.prepared)
			}
			b.Rewind(r)
			if n, err := io.Copy(io.Discard, r.Body); err != nil || n != int64(test.size) || memory.Used() != test.streamed {
				t.Errorf("read %d bytes, %v, %d used, want %d", n, err, memory.Used(), test.streamed)
			}
			b.Finish()
			b.Finish() // gives back nothing more
			if memory.Used() != 0 {
				t.Errorf("%d bytes are used after the request", memory.Used())
			}
		})
	}
}

// TestNoRoom guards against a body that is taken beyond the limit of the memory, and against one that is refused
// while there is room or after room was given back.
func TestNoRoom(t *testing.T) {
	memory := newMemory(100_000)
	others := []body.Holder{customer, {Kind: body.HolderHost, Name: customer.Name}}
	held := make([]*body.Body, 0, len(others))
	for _, holder := range others {
		_, b := upload(memory, holder, 45_000, false)
		if err := prepare(b); err != nil {
			t.Fatal(err)
		}
		held = append(held, b)
	}
	third := body.Holder{Kind: body.HolderCustomer}
	for _, chunked := range []bool{false, true} {
		_, b := upload(memory, third, 20_000, chunked)
		fits := chunked // it takes 4 KiB at first
		if err := prepare(b); errors.Is(err, body.ErrNoRoom) == fits {
			t.Errorf("chunked %t: %v with %d bytes used", chunked, err, memory.Used())
		}
		b.Finish()
	}
	held[0].Finish()
	_, b := upload(memory, third, 20_000, false)
	if err := prepare(b); err != nil {
		t.Errorf("%v with %d bytes used", err, memory.Used())
	}
}

// TestOneHolderHasHalf guards against one customer that takes the memory of all others.
func TestOneHolderHasHalf(t *testing.T) {
	memory := newMemory(200_000)
	for i := range 20 {
		_, b := upload(memory, customer, 10_000, false)
		if err := prepare(b); errors.Is(err, body.ErrNoRoom) != (i >= 10) {
			t.Fatalf("body %d: %v with %d bytes used", i, err, memory.Used())
		}
	}
	if _, b := upload(memory, body.Holder{Kind: body.HolderCustomer}, 10_000, false); prepare(b) != nil {
		t.Fatal("the others find no room")
	}
}

// TestNoBodyNeedsNoMemory guards against a request without a body that is refused because the memory is used up.
func TestNoBodyNeedsNoMemory(t *testing.T) {
	b := body.New(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", http.NoBody), 1)
	b.ChargeTo(newMemory(0), customer)
	if err := prepare(b); err != nil {
		t.Fatal(err)
	}
	b.Finish()
}

// TestAStreamedBodyOutlivesTheMemory guards against a body of unknown length that is cut when the memory is used up
// after a part was sent, and against one that is then sent again or identified without its start.
func TestAStreamedBodyOutlivesTheMemory(t *testing.T) {
	memory := newMemory(40_000)
	r, b := upload(memory, customer, 360_000, true)
	if err := prepare(b); err != nil {
		t.Fatal(err)
	}
	b.Rewind(r)
	if n, err := io.Copy(io.Discard, r.Body); n != 360_000 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if !b.Consumed() || memory.Used() != 0 {
		t.Errorf("consumed %t, %d bytes used", b.Consumed(), memory.Used())
	}
	if first, err := b.TryPeek(100); !errors.Is(err, body.ErrNoRoom) {
		t.Errorf("TryPeek returned %q, %v", first, err)
	}
	b.Finish()
}

// TestPeekWithoutMemory guards against a Peek that reads what cannot be buffered, which no attempt could send.
func TestPeekWithoutMemory(t *testing.T) {
	r, b := upload(newMemory(40_000), customer, 30_000, true)
	if err := prepare(b); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Peek(64 << 10); !errors.Is(err, body.ErrNoRoom) {
		t.Fatalf("Peek returned %v", err)
	}
	b.Rewind(r)
	if n, err := io.Copy(io.Discard, r.Body); n != 30_000 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// TestNothingIsTakenAfterFinish guards against memory that is never given back, because an attempt that was cancelled
// looks for the body after its request has ended.
func TestNothingIsTakenAfterFinish(t *testing.T) {
	memory := newMemory(1 << 20)
	r, b := upload(memory, customer, 100_000, true)
	if err := prepare(b); err != nil {
		t.Fatal(err)
	}
	b.Rewind(r)
	b.Finish()
	_, _ = b.Peek(64 << 10)
	_, _ = io.Copy(io.Discard, r.Body)
	if memory.Used() != 0 {
		t.Fatalf("%d bytes are used after the request", memory.Used())
	}
}

// TestTheSumReturnsToZero guards against memory that is given back twice or not at all, whatever the end of a request,
// and against a sum beyond the limit.
func TestTheSumReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 300_000).Draw(t, "limit")
		memory := newMemory(limit)
		var requests sync.WaitGroup
		var most atomic.Int64 // the most that was used at any step
		record := func() {
			for used, known := memory.Used(), most.Load(); used > known && !most.CompareAndSwap(known, used); known = most.Load() {
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			holder := body.Holder{Kind: body.HolderCustomer, Name: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "customer")}
			r, b := upload(memory, holder, rapid.IntRange(1, 100_000).Draw(t, "size"), rapid.Bool().Draw(t, "chunked"))
			steps := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 8).Draw(t, "steps")
			requests.Go(func() { runSteps(r, b, steps, record) })
		}
		requests.Wait()
		if memory.Used() != 0 {
			t.Fatalf("%d bytes are used after all requests", memory.Used())
		}
		if most.Load() > limit {
			t.Fatalf("%d bytes of %d were taken", most.Load(), limit)
		}
	})
}

// runSteps prepares the body and does with it what attempts do, in that order. It calls record before each step.
func runSteps(r *http.Request, b *body.Body, steps []int, record func()) {
	defer b.Finish()
	if prepare(b) != nil {
		return
	}
	for _, step := range steps {
		record()
		switch step {
		case 0:
			b.Rewind(r)
		case 1:
			_, _ = io.CopyN(io.Discard, r.Body, 30_000)
		case 2:
			_, _ = b.Peek(20_000)
		case 3:
			_, _ = b.TryPeek(20_000)
		case 4:
			b.Finish()
		}
	}
}
