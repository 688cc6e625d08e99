package heads_test

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/heads"
)

// TestCheckAnswer guards against heads that net/http reads, but not as every other reader would, and against a check that refuses
// heads of sound backend servers.
func TestCheckAnswer(t *testing.T) {
	tests := []struct {
		name, head string
		valid      bool
	}{
		{"a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n", true},
		{"neither", "HTTP/1.0 200 OK\r\n\r\n", true},
		{"no reason", "HTTP/1.1 204\r\n\r\n", true},
		{"a reason beyond ASCII", "HTTP/1.1 404 nicht verf\xfcgbar\r\n\r\n", true},
		{"an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", true},
		{"a length twice", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n", true},
		{"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 2\n\n", true},
		{"a folded value", "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\nContent-Length: 2\r\n\r\n", true},
		{"an empty value", "HTTP/1.1 200 OK\r\nX-A:\r\n\r\n", true},
		{"status 599", "HTTP/1.1 599 X\r\n\r\n", true},

		{"status 000", "HTTP/1.1 000 X\r\n\r\n", false},
		{"status 099", "HTTP/1.1 099 X\r\n\r\n", false},
		{"status +20", "HTTP/1.1 +20 X\r\n\r\n", false},
		{"status 600", "HTTP/1.1 600 X\r\n\r\n", false},
		{"status 999", "HTTP/1.1 999 X\r\n\r\n", false},
		{"status 0200", "HTTP/1.1 0200 X\r\n\r\n", false},
		{"a control byte in the reason", "HTTP/1.1 200 O\x00K\r\n\r\n", false},
		{"version 3.1", "HTTP/3.1 200 OK\r\n\r\n", false},
		{"version 0.9", "HTTP/0.9 200 OK\r\n\r\n", false},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n", false},
		{"a blank behind a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", false},
		{"a blank before the first name", "HTTP/1.1 200 OK\r\n X-A: b\r\n\r\n", false},
		{"a control byte in a name", "HTTP/1.1 200 OK\r\nX\x01A: b\r\n\r\n", false},
		{"NUL in a name", "HTTP/1.1 200 OK\r\nX\x00A: b\r\n\r\n", false},
		{"a carriage return in a name", "HTTP/1.1 200 OK\r\nX\rA: b\r\n\r\n", false},
		{"an empty name", "HTTP/1.1 200 OK\r\n: b\r\n\r\n", false},
		{"no colon", "HTTP/1.1 200 OK\r\nX-A\r\n\r\n", false},
		{"a control byte in a value", "HTTP/1.1 200 OK\r\nX-A: b\x07\r\n\r\n", false},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", false},
		{"a length that is none", "HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\n", false},
		{"an empty length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", false},
		{"a folded length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n 3\r\n\r\n", false},
		{"a length beside chunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"chunks in version 1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"chunks twice", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"another coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := heads.CheckAnswer([]byte(test.head))
			if (err == nil) != test.valid {
				t.Errorf("got %v, want valid: %t", err, test.valid)
			}
			if err != nil && !errors.Is(err, heads.ErrInvalid) {
				t.Errorf("got %v, want ErrInvalid", err)
			}
		})
	}
}

// drawField draws a field with any bytes in its name and its value.
func drawField(t *rapid.T) string {
	name := rapid.SampledFrom([]string{"X-A", "Content-Length", "Transfer-Encoding", "X A", "X-A ", "Content-Length ", "\x01", "x\tb"}).Draw(t, "name")
	value := rapid.SampledFrom([]string{"b", "2", "3", "chunked", "gzip", "", "\x02", "\xe4", "2, 2"}).Draw(t, "value")
	fold := rapid.SampledFrom([]string{"", "\r\n c", "\r\n\t\x03"}).Draw(t, "fold")
	return name + ":" + value + fold + rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
}

// TestValidHeadsAreReadAlike guards against a head that passes the check and that net/http refuses, or reads with another status,
// other names or another framing.
func TestValidHeadsAreReadAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		status := rapid.IntRange(0, 999).Draw(t, "status")
		version := rapid.SampledFrom([]string{"HTTP/1.1", "HTTP/1.0", "HTTP/2.0"}).Draw(t, "version")
		fields := rapid.SliceOfN(rapid.Custom(drawField), 0, 4).Draw(t, "fields")
		text := fmt.Sprintf("%s %03d X\r\n%s\r\n", version, status, strings.Join(fields, ""))
		if heads.CheckAnswer([]byte(text)) != nil {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			t.Fatalf("%q is valid; net/http: %v", text, err)
		}
		if err := heads.CheckResponse(response); err != nil || response.StatusCode != status {
			t.Errorf("%q is valid; decoded: status %d, %v", text, response.StatusCode, err)
		}
		chunks, length := len(response.TransferEncoding) > 0, response.ContentLength >= 0
		if status >= 200 && status != 204 && status != 304 && (chunks != strings.Contains(text, "chunked") || !chunks && length != strings.Contains(text, "Content-Length")) {
			t.Errorf("%q is valid; decoded: chunks %t, length %d", text, chunks, response.ContentLength)
		}
	})
}
