package logline_test

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/logline"
)

func TestLinesKeepTheirOrder(t *testing.T) {
	var out bytes.Buffer
	w, cleanUp := logline.New(logline.Config{Out: &out})
	var want strings.Builder
	for n := range 100 {
		line := fmt.Sprintf("line %d\n", n)
		_, _ = io.WriteString(w, line)
		want.WriteString(line)
	}
	cleanUp()
	if out.String() != want.String() {
		t.Fatalf("got %q", out.String())
	}
}

// TestWriteDoesNotBlock guards against callers that block on a full pipe whose reader has stopped.
func TestWriteDoesNotBlock(t *testing.T) {
	in, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = in.Close() }()
	dropped := 0
	w, cleanUp := logline.New(logline.Config{Out: out, PerSecond: 1 << 20, OnDrop: func() { dropped++ }})
	line := bytes.Repeat([]byte("x"), 300)
	start := time.Now()
	for range 5000 {
		_, _ = w.Write(line)
	}
	if took := time.Since(start); took > time.Second {
		t.Fatalf("5000 lines took %s", took)
	}
	if dropped == 0 {
		t.Fatal("nothing was dropped")
	}
	go func() { _, _ = io.Copy(io.Discard, in) }()
	_, _ = w.Write(line)
	cleanUp()
	_ = out.Close()
}

func TestDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	w, cleanUp := logline.New(logline.Config{Out: &out, PerSecond: 3})
	for time.Now().Nanosecond() > int(700*time.Millisecond) {
		time.Sleep(10 * time.Millisecond) // so that all lines are written within one second
	}
	for range 10 {
		_, _ = io.WriteString(w, "line\n")
	}
	time.Sleep(1100 * time.Millisecond)
	_, _ = io.WriteString(w, "later\n")
	cleanUp()
	if text := out.String(); strings.Count(text, "line\n") != 3 || !strings.Contains(text, `"count":7`) || !strings.HasSuffix(text, "later\n") {
		t.Fatalf("got %q", text)
	}
}
