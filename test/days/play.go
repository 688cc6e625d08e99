package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/go-faster/errors"
)

// player plays days on one site.
type player struct {
	bench string // the path of the bench's program
	site  string // the path of the site file
}

// playAll plays the days, a few at a time, and returns what became of each in their
// order.
func (p player) playAll(ctx context.Context, files []string, jobs int) []outcome {
	outcomes := make([]outcome, len(files))
	turns := make(chan struct{}, max(1, jobs))
	var wg sync.WaitGroup
	for i, file := range files {
		turns <- struct{}{}
		wg.Go(func() {
			defer func() { <-turns }()
			outcomes[i] = p.play(ctx, file)
		})
	}
	wg.Wait()
	return outcomes
}

// play plays one day.
func (p player) play(ctx context.Context, file string) outcome {
	day := strings.TrimSuffix(filepath.Base(file), dayEnding)
	r, err := p.runBench(ctx, day, file)
	return outcome{day: day, report: r, err: err}
}

// runBench has the bench play the day and reads what it tells of it.
func (p player) runBench(ctx context.Context, day, file string) (report, error) {
	target, err := os.CreateTemp("", "day-*.json")
	if err != nil {
		return report{}, errors.Wrap(err, "make room for the report")
	}
	defer func() { _ = os.Remove(target.Name()) }()
	_ = target.Close() // the bench writes it
	bench := exec.CommandContext(ctx, p.bench, "run", p.site, file, "--no-cpu", "--report", target.Name())
	if output, err := bench.CombinedOutput(); err != nil {
		return report{}, errors.Wrapf(err, "play %s: %s", day, lastLine(output))
	}
	data, err := os.ReadFile(target.Name())
	if err != nil {
		return report{}, errors.Wrap(err, "read the report")
	}
	return parseReport(data)
}

// lastLine returns the last line that a program wrote, where it says why it ended.
func lastLine(output []byte) string {
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	return lines[len(lines)-1]
}
