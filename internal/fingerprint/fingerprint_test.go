package fingerprint_test

import (
	"bytes"
	"testing"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/fingerprint"
)

func request(body []byte) fingerprint.Request {
	return fingerprint.Request{
		Method: "POST", Host: "a.example", Path: "/orders/7", Query: "x=1", Customer: "library",
		Body: func(limit int) ([]byte, error) { return body[:min(len(body), limit)], nil },
	}
}

func digest(t *testing.T, r fingerprint.Request) string {
	t.Helper()
	id, err := r.Digest()
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// TestWhatMakesRequestsTheSame guards against different requests that share a fingerprint, and repeated requests that
// do not.
func TestWhatMakesRequestsTheSame(t *testing.T) {
	long := bytes.Repeat([]byte("x"), fingerprint.MaxBodyBytes)
	tests := map[string]struct {
		change   func(*fingerprint.Request)
		sameHead bool
		same     bool
	}{
		"nothing":           {func(*fingerprint.Request) {}, true, true},
		"the method":        {func(r *fingerprint.Request) { r.Method = "PUT" }, false, false},
		"the host name":     {func(r *fingerprint.Request) { r.Host = "b.example" }, false, false},
		"the path":          {func(r *fingerprint.Request) { r.Path = "/orders/8" }, false, false},
		"the query":         {func(r *fingerprint.Request) { r.Query = "x=2" }, false, false},
		"the customer":      {func(r *fingerprint.Request) { r.Customer = "other" }, false, false},
		"where a part ends": {func(r *fingerprint.Request) { r.Host, r.Path = "a.example/orders", "/7" }, false, false},
		"the body":          {func(r *fingerprint.Request) { r.Body = request([]byte("other")).Body }, true, false},
		"the body's tail":   {func(r *fingerprint.Request) { r.Body = request(append(bytes.Clone(long), 'y')).Body }, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before := request(long)
			after := before
			test.change(&after)
			if got := before.HeadHash() == after.HeadHash(); got != test.sameHead {
				t.Errorf("same head: %v, want %v", got, test.sameHead)
			}
			if got := digest(t, before) == digest(t, after); got != test.same {
				t.Errorf("same digest: %v, want %v", got, test.same)
			}
		})
	}
}

// TestABodyThatCannotBeReadHasNoDigest guards against a digest of a body that could not be read.
func TestABodyThatCannotBeReadHasNoDigest(t *testing.T) {
	r := request(nil)
	r.Body = func(int) ([]byte, error) { return nil, errors.New("connection closed") }
	if _, err := r.Digest(); err == nil {
		t.Fatal("Digest returned no error for a body that cannot be read")
	}
	r.Body = nil
	if digest(t, r) != digest(t, request(nil)) {
		t.Fatal("the digests of no body and of an empty body differ")
	}
}

// BenchmarkHead measures the cost per request while another request is suspected.
func BenchmarkHead(b *testing.B) {
	r := request(nil)
	for b.Loop() {
		r.HeadHash()
	}
}

// BenchmarkDigest measures the cost of a request with a body of 64 KiB that shares its head with a suspected request.
func BenchmarkDigest(b *testing.B) {
	r := request(bytes.Repeat([]byte("x"), fingerprint.MaxBodyBytes))
	b.SetBytes(fingerprint.MaxBodyBytes)
	for b.Loop() {
		_, _ = r.Digest()
	}
}
