// Command upstream is a stand-in for an upstream: it checks in with the daemon of its host and answers requests as the
// platform's pages say. A request's header X-Plan, of the form key=value&..., says how it is to be answered:
//
//	work-ms   how long it runs before its answer begins
//	bytes     size of the answer's body
//	pieces    in how many pieces the body is sent, with pause-ms between them
//	chunked   1: the answer's body is sent in chunks
//	stall-ms  how long it stops reading after the first 64 KiB of the request's body, on which it works as it reads
//
// One in GARBLE-EACH of its answers, drawn at random, is special (0: none). With GARBLE unframed, it has no length and ends
// with its connection. With early, it is sent before the request's body has been read; the connection is kept, and the body
// is read half a second later.
//
// A request that expects 100 Continue gets it before its body is read, unless it is answered early.
package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the interval of check-ins.
	heartbeat = 1500 * time.Millisecond
	// checkInTimeout is how long a check-in waits for its confirmation.
	checkInTimeout = time.Second
	// resumeAfter is how long after an early answer the request's body is read.
	resumeAfter = 500 * time.Millisecond
	// beforeStall is how much of a body is read before the reading stops for a while, in bytes.
	beforeStall = 64 << 10
	// betweenChunks is the pause between the chunks of an answer.
	betweenChunks = 5 * time.Millisecond
	// queueTimeout is how long a request waits for a slot before it is rejected.
	queueTimeout = time.Second
	// arguments is the number of arguments, with the program's name.
	arguments = 8
)

// upstream is one lifetime.
type upstream struct {
	address, id, service, control string
	slots                         chan struct{}
	capacity                      int
	garble                        string // what is special about some answers
	garbleEach                    int    // one in so many; 0: none
	output                        sync.Mutex
}

func main() {
	if len(os.Args) != arguments {
		fmt.Fprintln(os.Stderr, "usage: upstream ADDRESS ID SERVICE CHECK-INS CAPACITY GARBLE GARBLE-EACH")
		os.Exit(arguments)
	}
	capacity, err := strconv.Atoi(os.Args[5])
	if err != nil {
		fail(err)
	}
	garbleEach, err := strconv.Atoi(os.Args[7])
	if err != nil {
		fail(err)
	}
	u := &upstream{
		address: os.Args[1], id: os.Args[2], service: os.Args[3], control: os.Args[4], capacity: capacity,
		garble: os.Args[6], garbleEach: garbleEach,
		slots: make(chan struct{}, capacity),
	}
	socket, err := net.Listen("tcp", u.address)
	if err != nil {
		fail(err)
	}
	go u.checkIn()
	for {
		conn, err := socket.Accept()
		if err != nil {
			fail(err)
		}
		go u.serve(conn)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// say writes a line for the rig's record.
func (u *upstream) say(format string, args ...any) {
	u.output.Lock()
	defer u.output.Unlock()
	fmt.Printf(format+"\n", args...)
}

// draws reports whether the next answer is special in that way.
func (u *upstream) draws(garble string) bool {
	return u.garble == garble && u.garbleEach > 0 && rand.IntN(u.garbleEach) == 0
}

// checkIn checks in until the process ends.
func (u *upstream) checkIn() {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"hall","version":"v1","capacity":%d,"state":"ready","cold-remaining-s":0,"call-seq":%d,"born":%d}`,
			u.service, u.address, u.capacity, sequence, born)
		if err := u.put(body); err != nil {
			u.say("check-in failed: %v", err)
		}
		time.Sleep(heartbeat)
	}
}

func (u *upstream) put(body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), checkInTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+u.control+"/v1/backend-servers/"+u.id, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// serve answers the requests of a connection one after the other.
func (u *upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !u.serveOne(conn, request) {
			return
		}
	}
}

// serveOne reads a request's body and answers it, and reports whether the connection goes on.
func (u *upstream) serveOne(conn net.Conn, request *http.Request) bool {
	plan, err := url.ParseQuery(request.Header.Get("X-Plan"))
	if err != nil {
		return false
	}
	if request.ContentLength <= 0 || !u.draws("early") {
		return u.readBody(conn, request, plan, true) && u.answer(conn, request, plan)
	}
	u.say("answers %s before its body has been read", request.Header.Get("Request-Id"))
	if !u.answer(conn, request, plan) {
		return false
	}
	time.Sleep(resumeAfter)
	return u.readBody(conn, request, plan, false)
}

// readBody reads the request's body. If it invites it, it asks for it first where the request expects that.
func (u *upstream) readBody(conn net.Conn, request *http.Request, plan url.Values, invites bool) bool {
	if invites && request.Header.Get("Expect") != "" && !u.write(conn, "HTTP/1.1 100 Continue\r\n\r\n") {
		return false
	}
	id := request.Header.Get("Request-Id")
	size := int64(0)
	if stall := number(plan, "stall-ms", 0); stall > 0 {
		u.say("begins to work on %s", id)
		size, _ = io.CopyN(io.Discard, request.Body, beforeStall) // the next read tells of an error
		time.Sleep(stall)
	}
	rest, err := io.Copy(io.Discard, request.Body)
	if size += rest; err != nil {
		u.say("the connection of %s ends after %d bytes of its body", id, size)
		return false
	}
	u.say("has read %d bytes of %s", size, id)
	return true
}

// answer runs a request and answers it, and reports whether the connection goes on.
func (u *upstream) answer(conn net.Conn, request *http.Request, plan url.Values) bool {
	id := request.Header.Get("Request-Id")
	if target := request.Header.Get("Target-Instance"); target != "" && target != u.id {
		return u.write(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, u.id)
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-time.After(queueTimeout):
		return u.write(conn, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	u.say("runs %s %s %s caller=%q tenant=%q", id, request.Method, request.URL.RequestURI(),
		request.Header.Get("Caller-Service"), request.Header.Get("Tenant"))
	time.Sleep(number(plan, "work-ms", 0))
	return u.send(conn, plan, id)
}

// send sends a successful answer as the plan says.
func (u *upstream) send(conn net.Conn, plan url.Values, id string) bool {
	size := int(number(plan, "bytes", len(id)) / time.Millisecond)
	body := id + strings.Repeat(".", max(0, size-len(id)))
	digest := sha256.Sum256([]byte(body))
	framing, goesOn := fmt.Sprintf("Content-Length: %d\r\n", len(body)), true
	if plan.Get("chunked") != "" {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	if u.draws("unframed") {
		u.say("answers %s without a length", id)
		framing, goesOn = "", false
	}
	if !u.write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\n%s\r\n", id, hex.EncodeToString(digest[:]), framing) {
		return false
	}
	if plan.Get("chunked") != "" {
		return u.sendChunks(conn, body, id)
	}
	pieces := max(1, int(number(plan, "pieces", 1)/time.Millisecond))
	for n := range pieces {
		if n > 0 {
			time.Sleep(number(plan, "pause-ms", 0))
		}
		if !u.write(conn, "%s", body[len(body)*n/pieces:len(body)*(n+1)/pieces]) {
			return false
		}
	}
	u.say("answered %s with 200 and %d bytes", id, len(body))
	return goesOn
}

// sendChunks sends the body in chunks.
func (u *upstream) sendChunks(conn net.Conn, body, id string) bool {
	const chunk = 6000
	for rest := body; rest != ""; time.Sleep(betweenChunks) {
		piece := rest[:min(chunk, len(rest))]
		rest = rest[len(piece):]
		if !u.write(conn, "%x\r\n%s\r\n", len(piece), piece) {
			u.say("the connection of %s ends before its answer has been sent", id)
			return false
		}
	}
	if !u.write(conn, "0\r\n\r\n") {
		return false
	}
	u.say("answered %s with 200 and %d bytes", id, len(body))
	return true
}

func (u *upstream) write(conn net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(conn, format, args...)
	return err == nil
}

// number returns a number of the plan as milliseconds.
func number(plan url.Values, name string, otherwise int) time.Duration {
	value, err := strconv.Atoi(plan.Get(name))
	if err != nil {
		value = otherwise
	}
	return time.Duration(value) * time.Millisecond
}
