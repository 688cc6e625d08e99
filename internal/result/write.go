package result

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Header is the response header that carries a code, such as "2004 queue-full".
const Header = "Tidelift-Result"

// Write writes the error as a response: the code's status, the Header,
// Retry-After in whole seconds if the error specifies it, and a JSON body.
func Write(w http.ResponseWriter, e *Error) {
	write(w, e, retryAfterSeconds(e.RetryAfter))
}

// WriteDecimals is like Write, but gives Retry-After in seconds with decimals, for callers that
// support them.
func WriteDecimals(w http.ResponseWriter, e *Error) {
	write(w, e, retryAfterDecimals(e.RetryAfter))
}

// WriteConn writes the response of Write to a connection, with Connection: close. It uses a single write, so that
// a client can identify the response by its first read.
func WriteConn(c io.Writer, e *Error) error {
	body := encode(e)
	response := http.Response{
		StatusCode:    e.Code.Status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header(e, retryAfterSeconds(e.RetryAfter)),
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
		Close:         true,
	}
	var text bytes.Buffer
	if err := response.Write(&text); err != nil {
		return err
	}
	_, err := text.WriteTo(c)
	return err
}

// write writes the error as a response, with the given Retry-After text if the error
// specifies a time.
func write(w http.ResponseWriter, e *Error, retryAfter string) {
	body := encode(e)
	h := w.Header()
	maps.Copy(h, header(e, retryAfter))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Code.Status)
	_, _ = w.Write(body)
}

// header returns the headers of the response for the error.
func header(e *Error, retryAfter string) http.Header {
	h := make(http.Header)
	h.Set("Content-Type", "application/json")
	h.Set(Header, strconv.Itoa(e.Code.Number)+" "+e.Code.Name)
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter)
	}
	return h
}

// encode returns the body of the response for the error.
func encode(e *Error) []byte {
	body, err := json.Marshal(struct {
		Code         int    `json:"code"`
		Name         string `json:"name"`
		Ran          Ran    `json:"ran"`
		Meaning      string `json:"meaning"`
		Detail       string `json:"detail,omitempty"`
		RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	}{
		Code:         e.Code.Number,
		Name:         e.Code.Name,
		Ran:          e.Code.Ran,
		Meaning:      e.Code.Meaning,
		Detail:       e.Detail,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// retryAfterDecimals formats the duration in seconds, to the millisecond.
func retryAfterDecimals(after time.Duration) string {
	const decimals = 3
	return strconv.FormatFloat(after.Seconds(), 'f', decimals, 64)
}

// retryAfterSeconds formats the duration in whole seconds, rounded up and at least one.
func retryAfterSeconds(after time.Duration) string {
	seconds := math.Ceil(after.Seconds())
	return strconv.Itoa(int(math.Max(1, seconds)))
}

// WriteRefusal writes the error as a response of the operator API.
func WriteRefusal(w http.ResponseWriter, e *Error) {
	body, err := json.Marshal(struct {
		Code   int    `json:"code"`
		Name   string `json:"name"`
		Detail string `json:"detail"`
	}{
		Code:   e.Code.Number,
		Name:   e.Code.Name,
		Detail: cmp.Or(e.Detail, e.Code.Meaning),
	})
	if err != nil {
		body = []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Code.Status)
	_, _ = w.Write(body)
}
