package soak

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/tideliftd/tidelift/internal/result"
)

// TestRefusalBeforeRequest guards against callers of the soaks that count a daemon's refusal as a lost request because
// it arrived before they had sent one, or that overlook a connection that was closed without a refusal.
func TestRefusalBeforeRequest(t *testing.T) {
	refuse := func(c net.Conn) error { return result.WriteConn(c, result.New(result.ConnectionUnused)) }
	for _, test := range []struct {
		name  string
		close func(net.Conn) error
		want  outcome
	}{
		{"refused", refuse, outcomeNotRun},
		{"closed without a response", net.Conn.Close, outcomeBroken},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, server := connect(t)
			if err := test.close(server); err != nil {
				t.Fatal(err)
			}
			c := &caller{address: "daemon", path: "/x", newConnEach: true, conn: client, reader: bufio.NewReader(client)}
			_, _ = c.reader.Peek(1) // waits for the refusal or the close
			if one := c.send("key", http.MethodGet); one.outcome != test.want {
				t.Errorf("outcome %q (%s), want %q", one.outcome, one.err, test.want)
			}
		})
	}
}

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}
