package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/test/bench"
)

func TestParseReport(t *testing.T) {
	r, err := bench.ParseReport([]byte(`{"G":0.5,"served":0.9,"breaks":{"LOST":[1],"GONE":{}},"fault":null,
		"prices":[["probes",0,0.001],["bytes",2.5,0.03]]}`))
	if err != nil {
		t.Fatal(err)
	}
	o := bench.Outcome{Play: bench.Play{Day: "some-day"}, Report: r}
	if o.FailureText() == "" {
		t.Fatal("day with broken rules is reported as successful")
	}
	text := formatLine(o)
	for _, want := range []string{"some-day", "broken GONE LOST", "served 0.900", "worth 0.500", "bytes 0.030, probes 0.001"} {
		if !strings.Contains(text, want) {
			t.Errorf("missing %q in line %q", want, text)
		}
	}
}

func TestFaultIsFailure(t *testing.T) {
	r, err := bench.ParseReport([]byte(`{"fault":"a process ended"}`))
	if err != nil {
		t.Fatal(err)
	}
	if (bench.Outcome{Report: r}).FailureText() == "" {
		t.Fatal("day with a fault is reported as successful")
	}
}

// TestDayFilesHaveDescriptionAndName guards against day files without a description or with a name other than the file's.
func TestDayFilesHaveDescriptionAndName(t *testing.T) {
	files, err := filepath.Glob("days/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d days, %v", len(files), err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		if !strings.HasPrefix(string(data), "# ") || !strings.Contains(string(data), `name = "`+name+`"`) {
			t.Errorf("%s: want a comment with its purpose in the first line, and the file's name as name", file)
		}
	}
}
