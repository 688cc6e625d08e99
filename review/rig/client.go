package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is a client's request.
type Request struct {
	ID, Method, Path string
	// Plan says how an upstream is to answer (review/rig/upstream).
	Plan string
	// Headers are further header lines, each ended by CR LF.
	Headers string
	Body    string
	// Deadline is how long the client waits.
	Deadline time.Duration
}

// Answer is what the client received.
type Answer struct {
	Status    int
	Signature string
	ID        string
	Body      string
	// Err says why the answer is not complete; nil if it is.
	Err error
}

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Status == 0 {
		return fmt.Sprintf("no answer: %v", a.Err)
	}
	text := fmt.Sprintf("%d, signature %q, %d bytes", a.Status, a.Signature, len(a.Body))
	if a.Err != nil {
		return text + fmt.Sprintf(", not complete: %v", a.Err)
	}
	return text + ", complete"
}

// Head returns the request's head.
func (q Request) Head() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: %d\r\nX-Plan: %s\r\n%s",
		q.Method, q.Path, q.ID, q.Deadline.Milliseconds(), q.Plan, q.Headers)
	if q.Body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	return text + "\r\n"
}

// Send sends the request on a new connection and returns the answer.
func (h *Host) Send(q Request) Answer {
	conn, err := net.DialTimeout("tcp", h.Callers, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.Deadline + time.Second)) // fails only on a closed connection
	h.rig.Log("client at %s sends %s %s %s", h.Name, q.ID, q.Method, q.Path)
	if _, err := io.WriteString(conn, q.Head()+q.Body); err != nil {
		return Answer{Err: err}
	}
	answer := ReadAnswer(bufio.NewReader(conn), q)
	h.rig.Log("client at %s gets for %s: %s", h.Name, q.ID, answer)
	return answer
}

// ReadAnswer reads the answer to the request.
func ReadAnswer(reader *bufio.Reader, q Request) Answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: q.Method})
	if err != nil {
		return Answer{Err: err}
	}
	var body strings.Builder
	_, err = io.Copy(&body, response.Body)
	_ = response.Body.Close()
	return Answer{
		Status: response.StatusCode, Signature: response.Header.Get("Response-Signature"), ID: response.Header.Get("Request-Id"),
		Body: body.String(), Err: err,
	}
}

// ReadContinue reads an interim answer.
func ReadContinue(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	_, err = reader.ReadString('\n') // the empty line
	return line, err
}
