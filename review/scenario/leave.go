package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	leaveConfig = `{"version":1,"routes":[` +
		`{"name":"r-search","host":"books.example","path-prefix":"/search/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"lookup","attempts":2}],` +
		`"services":[{"name":"lookup","health-path":"/healthz","max-connections":330,"protocol":"h1","tls":false}],` +
		`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}`
	leaveMachines = 3
	// late is how long a check-in is delayed on its way.
	late = 3 * time.Second
	// servesOn is how long the upstream serves on after its DELETE was confirmed.
	servesOn = 9 * time.Second
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
)

// runLeave lets an upstream leave by DELETE while its last check-in is still on its way, and kills the daemon that
// confirmed the DELETE.
func runLeave(f *fleet, trouble bool) ([]string, error) {
	f.writeConfig(leaveConfig)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	upstreams, err := f.addMachines("lookup", leaveMachines)
	if err != nil {
		return nil, err
	}
	beats, stopBeats := context.WithCancel(ctx)
	if err := errors.Join(f.checkIn(beats, upstreams[:1]), f.checkIn(ctx, upstreams[1:])); err != nil {
		stopBeats()
		return nil, err
	}
	time.Sleep(touch + heartbeat) // all machines are in touch and know each other
	c := newClient(f.machines[1], "books.example")
	traffic, stopTraffic := context.WithCancel(ctx)
	var sending sync.WaitGroup
	sending.Go(func() { c.sendEvery(traffic, 10*time.Millisecond, http.MethodGet, "/search/9", "") })
	time.Sleep(heartbeat)
	stopBeats()
	acked, calmAt, err := leaveAndRestart(f, upstreams[0], trouble)
	if err != nil {
		stopTraffic()
		sending.Wait()
		return nil, err
	}
	time.Sleep(time.Until(acked.Add(servesOn)))
	stopTraffic()
	sending.Wait()
	return judgeLeave(f, c, upstreams, acked, calmAt)
}

// leaveAndRestart lets the upstream leave and returns when its DELETE was confirmed, and from when on all machines are
// in touch again.
func leaveAndRestart(f *fleet, u *upstream, trouble bool) (acked, calmAt time.Time, err error) {
	delivered := make(chan struct{})
	if !trouble {
		close(delivered)
		u.sendCheckIn(u.machine.control(), u.nextCheckIn())
	} else {
		proxy, err := newLateProxy(f, u.machine.control(), delivered)
		if err != nil {
			return acked, calmAt, err
		}
		u.sendCheckIn(proxy, u.nextCheckIn()) // no answer within a second
	}
	if !u.leave() {
		return acked, calmAt, errors.New("the DELETE was not confirmed")
	}
	acked = time.Now()
	f.record.printf("the DELETE of %s is confirmed", u.id)
	if !trouble {
		return acked, acked, nil
	}
	u.machine.kill()
	f.record.printf("%s: killed", u.machine.name)
	time.Sleep(restartDelay)
	if err := u.machine.start(); err != nil {
		return acked, calmAt, err
	}
	if err := u.machine.waitReady(); err != nil {
		return acked, calmAt, err
	}
	<-delivered
	return acked, time.Now().Add(touch + margin), nil
}

// newLateProxy starts a proxy that passes on what it receives on its first connection after the delay, and closes
// delivered then. It returns its address.
func newLateProxy(f *fleet, target string, delivered chan<- struct{}) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for proxy")
	}
	f.onCleanUp(func() { _ = listener.Close() })
	go func() {
		defer close(delivered)
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = socket.Close() }()
		received := time.Now()
		data := readRequest(socket)
		time.Sleep(time.Until(received.Add(late)))
		f.record.printf("proxy: delivers the late check-in: %q", data)
		deliver(f, target, data)
	}()
	return listener.Addr().String(), nil
}

// readRequest reads a request with the length of its body from the connection.
func readRequest(socket net.Conn) []byte {
	var data bytes.Buffer
	r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(socket, &data)))
	if err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	return data.Bytes()
}

// deliver sends the bytes to the address and records the answer.
func deliver(f *fleet, target string, data []byte) {
	socket, err := net.Dial("tcp", target) //nolint:gosec // an address of this program's daemons
	if err != nil {
		f.record.printf("proxy: %v", err)
		return
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(time.Second))
	_, _ = socket.Write(data)
	answer := make([]byte, 1024)
	n, _ := socket.Read(answer)
	f.record.printf("proxy: the late check-in is answered with %q", answer[:n])
}

// judgeLeave returns the requests that were sent while all machines were in touch and reached the upstream later than
// the drain timeout after its leaving was confirmed.
func judgeLeave(f *fleet, c *client, upstreams []*upstream, acked, calmAt time.Time) ([]string, error) {
	before, broken := 0, []string(nil)
	for _, a := range upstreams[0].runs() {
		sent, ok := c.attempt(a.id)
		if a.at.Before(acked) {
			before++
		}
		if !ok || a.at.Before(acked.Add(drainTimeout)) || sent.sentAt.Before(calmAt) {
			continue
		}
		broken = append(broken, fmt.Sprintf("DRAIN: request %s, sent at %s, reached %s at %s, %.3f s after the confirmation of its leaving",
			a.id, f.record.at(sent.sentAt), a.upstream, f.record.at(a.at), a.at.Sub(acked).Seconds()))
	}
	if before == 0 {
		return nil, errors.New("the upstream ran no request before it left")
	}
	f.record.printf("%s ran %d requests before its leaving was confirmed; %d break the rule", upstreams[0].id, before, len(broken))
	return broken, nil
}
