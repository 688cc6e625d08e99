// Package bench runs the users' bench and reads its reports. A day is a scenario of
// the bench, and a play is one run of a day.
//
// # Usage
//
//	player := bench.Player{Program: "path/of/the/bench", Site: "path/of/site.toml"}
//	reports := player.PlayAll(ctx, []bench.Play{{Day: "quiet-1", Seed: 5}}, 4)
//
// The bench is the users' own program, and the site one of their files; neither is part
// of this repository. The bench plays the sources of the folder that it runs in and writes
// an entry in that folder's journal. It is run without charges for processor time, which
// makes plays mostly reproducible.
package bench

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/go-faster/errors"
)

// Player plays days on one site.
type Player struct {
	// Program is the path of the bench's program.
	Program string
	// Site is the path of the site file.
	Site string
}

// NewPlayer returns a player with absolute paths, since the bench may run in any folder.
func NewPlayer(program, site string) (Player, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return Player{}, errors.Wrap(err, "resolve path of the bench")
	}
	site, err = filepath.Abs(site)
	if err != nil {
		return Player{}, errors.Wrap(err, "resolve path of the site file")
	}
	return Player{Program: program, Site: site}, nil
}

// Play is one day to play.
type Play struct {
	// Day is the name of a day of the site, or the path of a day file.
	Day string
	// Seed is the random seed. If zero, the day's own seed is used.
	Seed int
	// Dir is the root of the sources to play. If empty, it is the current folder.
	Dir string
	// Why is the reason to write in the journal. It may be empty.
	Why string
}

// Outcome is a play with its report or its error.
type Outcome struct {
	Play   Play
	Report Report
	// Err is the error of a play that failed, or nil.
	Err error
}

// FailureText describes why a play is not successful: it failed, broke rules or had a fault. It
// returns an empty string for a successful play.
func (o Outcome) FailureText() string {
	switch {
	case o.Err != nil:
		return "not played: " + o.Err.Error()
	case len(o.Report.Broken) > 0 || o.Report.Fault != "":
		return "broken " + o.Report.BrokenText()
	}
	return ""
}

// PlayAll runs the plays, at most jobs of them concurrently, and returns their outcomes in
// the same order.
func (p Player) PlayAll(ctx context.Context, plays []Play, jobs int) []Outcome {
	outcomes := make([]Outcome, len(plays))
	slots := make(chan struct{}, max(1, jobs))
	var wg sync.WaitGroup
	for i, play := range plays {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			report, err := p.play(ctx, play)
			outcomes[i] = Outcome{Play: play, Report: report, Err: err}
		})
	}
	wg.Wait()
	return outcomes
}

// play runs the bench and reads its report.
func (p Player) play(ctx context.Context, play Play) (Report, error) {
	reportFile, err := os.CreateTemp("", "day-*.json")
	if err != nil {
		return Report{}, errors.Wrap(err, "create report file")
	}
	defer func() { _ = os.Remove(reportFile.Name()) }()
	_ = reportFile.Close() // the bench writes to it by name
	command := exec.CommandContext(ctx, p.Program, p.arguments(play, reportFile.Name())...)
	command.Dir = play.Dir
	if output, err := command.CombinedOutput(); err != nil {
		return Report{}, errors.Wrapf(err, "play %s: %s", play.Day, lastLine(output))
	}
	data, err := os.ReadFile(reportFile.Name())
	if err != nil {
		return Report{}, errors.Wrap(err, "read report")
	}
	return ParseReport(data)
}

// arguments returns the bench's command-line arguments.
func (p Player) arguments(play Play, report string) []string {
	arguments := []string{"run", p.Site, play.Day, "--no-cpu", "--report", report}
	if play.Seed != 0 {
		arguments = append(arguments, "--seed", strconv.Itoa(play.Seed))
	}
	if play.Why != "" {
		arguments = append(arguments, "--why", play.Why)
	}
	return arguments
}

// lastLine returns the last line of a program's output, which contains the reason of a failure.
func lastLine(output []byte) string {
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	return lines[len(lines)-1]
}
