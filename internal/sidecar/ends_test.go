package sidecar

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
)

// TestFingerprintKeepsThePath guards against a request that is quarantined for another one, from which it differs only in
// an encoded slash.
func TestFingerprintKeepsThePath(t *testing.T) {
	s, cleanUp := New(Config{Scope: tally.NoopScope})
	defer cleanUp()
	digests := make(map[string]string)
	for _, target := range []string{"/a/b", "/a%2Fb", "/a%2fb", "/a/b|", "/a%2fb|", "/a/b%7C", "/a//b"} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		digest, err := s.fingerprintOf(r, nil).Digest()
		if err != nil {
			t.Fatal(err)
		}
		if other, ok := digests[digest]; ok {
			t.Errorf("%s has the fingerprint of %s", target, other)
		}
		digests[digest] = target
	}
}
