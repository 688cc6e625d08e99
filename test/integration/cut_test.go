package integration

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// signedAnswer begins an answer without a length whose backend server signs its answers.
const signedAnswer = "HTTP/1.1 200 OK\r\nX-Signature: sum\r\n\r\n"

// pieces hides the length and the kind of a body, so that it is sent in chunks.
type pieces struct{ io.Reader }

// upload sends a body, in chunks or with a length, and returns the status and body of a whole answer, and 0 for any other.
func upload(url string, size int, chunked bool) (status int, body string) {
	var sent io.Reader = strings.NewReader(strings.Repeat("x", size))
	if chunked {
		sent = pieces{sent}
	}
	r, err := http.NewRequest(http.MethodPost, url, sent)
	if err != nil {
		return 0, ""
	}
	return wholeAnswer((&http.Transport{DisableKeepAlives: true}).RoundTrip(r))
}

// TestAnswerCutDuringUploadIsNeverWhole guards against a part of an answer without a length that counts as whole because its
// connection was reset while the request was still being sent.
func TestAnswerCutDuringUploadIsNeverWhole(t *testing.T) {
	const (
		uploadSize = 900_000
		callers    = 12
		rounds     = 3
	)
	f, backend := startSigned(t, 2*time.Second)
	for _, end := range []struct {
		name   string
		finish func(*net.TCPConn)
		waits  []time.Duration // before the end
	}{
		{"reset", func(conn *net.TCPConn) { _ = conn.SetLinger(0) }, []time.Duration{0, 20 * time.Millisecond}},
		// Without a wait nothing is unread yet, so that the connection is closed in order.
		{"close with unread bytes", func(*net.TCPConn) {}, []time.Duration{20 * time.Millisecond}},
	} {
		for _, wait := range end.waits {
			for _, size := range []int{5, 5_000, 100_000} {
				t.Run(fmt.Sprintf("%s after %d bytes and %s", end.name, size, wait), func(t *testing.T) {
					backend.setAnswer(func(conn *net.TCPConn, _ *http.Request) bool {
						_, _ = io.WriteString(conn, signedAnswer+strings.Repeat("y", size))
						time.Sleep(wait)
						end.finish(conn)
						return false
					})
					runUploads(rounds, callers, func(number int) {
						if status, body := upload(f.URL(number%2, "antraege", "/x"), uploadSize, number/2%2 == 0); status/100 == 2 {
							t.Errorf("upload %d got %d and %d bytes as whole", number, status, len(body))
						}
					})
				})
			}
		}
	}
}

// runUploads runs the function concurrently, in rounds.
func runUploads(rounds, callers int, run func(number int)) {
	for range rounds {
		var running sync.WaitGroup
		for number := range callers {
			running.Go(func() { run(number) })
		}
		running.Wait()
	}
}

// TestEarlyAnswerToUploadIsDelivered guards against whole answers that are lost because the rest of the upload cannot be sent, or
// because their end is the end of a connection on which the upload is still being sent.
func TestEarlyAnswerToUploadIsDelivered(t *testing.T) {
	const (
		uploadSize = 900_000
		callers    = 12
		rounds     = 2
	)
	f, backend := startSigned(t, 2*time.Second)
	body := strings.Repeat("y", 30_000)
	for name, head := range map[string]string{
		"with a length":    fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Signature: sum\r\nContent-Length: %d\r\n\r\n", len(body)),
		"without a length": signedAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			backend.setAnswer(func(conn *net.TCPConn, r *http.Request) bool {
				_, _ = io.WriteString(conn, head+body)
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, r.Body)
				return false
			})
			runUploads(rounds, callers, func(number int) {
				status, got := upload(f.URL(number%2, "antraege", "/x"), uploadSize, number/2%2 == 0)
				if status != http.StatusOK || !bytes.Equal([]byte(got), []byte(body)) {
					t.Errorf("upload %d got %d and %d bytes: %.300s", number, status, len(got), got)
				}
			})
		})
	}
}
