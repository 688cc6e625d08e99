package complete_test

import (
	"errors"
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/complete"
)

func drawEnd(t *rapid.T) complete.End {
	return complete.End{
		Framing:     rapid.SampledFrom([]complete.Framing{complete.FramingNone, complete.FramingLength, complete.FramingChunks, complete.FramingClose}).Draw(t, "framing"),
		Request:     rapid.SampledFrom([]complete.Request{complete.RequestSending, complete.RequestSent, complete.RequestCut}).Draw(t, "request"),
		Stream:      rapid.SampledFrom([]complete.Stream{complete.StreamUnknown, complete.StreamClosed, complete.StreamReset}).Draw(t, "stream"),
		ServerEnded: rapid.Bool().Draw(t, "server ended"),
	}
}

// TestOnlyCertainEndsAreComplete guards against an answer that ends with its connection and counts as complete although something
// speaks against it, and against doubts about one that says itself where it ends.
func TestOnlyCertainEndsAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := drawEnd(t)
		inOrder := end.Stream == complete.StreamClosed || end.Stream == complete.StreamUnknown && end.Request == complete.RequestSent
		want := end.Framing != complete.FramingClose || inOrder && end.Request != complete.RequestCut && !end.ServerEnded
		if err := complete.Check(end); (err == nil) != want || err != nil && !errors.Is(err, complete.ErrIncomplete) {
			t.Errorf("%+v: got %v, want complete: %t", end, err, want)
		}
	})
}

// TestFramingOf guards against an answer whose end is taken from what does not frame it.
func TestFramingOf(t *testing.T) {
	head := &http.Request{Method: http.MethodHead}
	for want, responses := range map[complete.Framing][]*http.Response{
		complete.FramingNone: {
			{StatusCode: http.StatusNoContent, ContentLength: -1},
			{StatusCode: http.StatusNotModified, ContentLength: 5},
			{StatusCode: http.StatusOK, ContentLength: -1, Request: head},
		},
		complete.FramingLength: {{StatusCode: http.StatusOK}, {StatusCode: http.StatusOK, ContentLength: 5}},
		complete.FramingChunks: {{StatusCode: http.StatusOK, ContentLength: -1, TransferEncoding: []string{"chunked"}}},
		complete.FramingClose:  {{StatusCode: http.StatusOK, ContentLength: -1}},
	} {
		for _, response := range responses {
			if got := complete.FramingOf(response); got != want {
				t.Errorf("%+v: got %s, want %s", response, got, want)
			}
		}
	}
}
