package bound_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/internal/bound"
)

// endless repeats a text.
type endless struct {
	text string
	at   int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text[e.at:])
	e.at = (e.at + n) % len(e.text)
	return n, nil
}

// TestReadAllKeepsToItsLimit guards against bytes beyond the limit, which are kept, or cut off as if there were none.
func TestReadAllKeepsToItsLimit(t *testing.T) {
	if data, err := bound.ReadAll(strings.NewReader("four"), 4); err != nil || string(data) != "four" {
		t.Errorf("read %q, %v; want all of it", data, err)
	}
	for name, source := range map[string]io.Reader{"one more": strings.NewReader("fives"), "endless": &endless{text: "x"}} {
		if data, err := bound.ReadAll(source, 4); !errors.Is(err, bound.ErrExceeded) || data != nil {
			t.Errorf("%s: read %q, %v; want ErrExceeded", name, data, err)
		}
	}
}

// TestReaderBoundsHeads guards against a head without end that is read to memory, and against a bound that also holds for the
// body.
func TestReaderBoundsHeads(t *testing.T) {
	for _, head := range []string{"x", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"} {
		source := bound.NewReader(&endless{text: head})
		source.Allow(bound.AnswerHead)
		reader := bufio.NewReader(source)
		var err error
		for err == nil {
			_, err = http.ReadResponse(reader, nil)
		}
		if !errors.Is(err, bound.ErrExceeded) {
			t.Errorf("%q without end: %v, want ErrExceeded", head, err)
		}
	}
	const length = 2 * bound.AnswerHead
	source := bound.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 131072\r\n\r\n"), &endless{text: "x"}))
	source.Allow(bound.AnswerHead)
	response, err := http.ReadResponse(bufio.NewReader(source), nil)
	if err != nil {
		t.Fatal(err)
	}
	source.AllowAll()
	if data, err := io.ReadAll(response.Body); err != nil || len(data) != length {
		t.Errorf("read %d bytes of the body, %v; want %d", len(data), err, length)
	}
}
