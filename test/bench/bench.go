// Package bench has the users' bench play days and reads its reports.
//
// # Usage
//
//	player := bench.Player{Program: "path/of/the/bench", Site: "path/of/site.toml"}
//	reports := player.PlayAll(ctx, []bench.Play{{Day: "quiet-1", Seed: 5}}, 4)
//
// The bench is the users' own program, and the site one of their files; neither is part
// of this repository. The bench plays the sources of the folder that it runs in, writes an
// entry in that folder's journal, and charges no processor time, so that a play mostly
// repeats.
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

// NewPlayer returns the player, by absolute paths, since the bench runs in any checkout.
func NewPlayer(program, site string) (Player, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return Player{}, errors.Wrap(err, "find the bench")
	}
	site, err = filepath.Abs(site)
	if err != nil {
		return Player{}, errors.Wrap(err, "find the site file")
	}
	return Player{Program: program, Site: site}, nil
}

// Play is one day to play.
type Play struct {
	// Day is the name of a day of the site, or the path of a file that holds one.
	Day string
	// Seed draws the day's luck; zero leaves it to the day.
	Seed int
	// Dir is the root of the sources to play; empty for the current folder.
	Dir string
	// Why is a line for the journal; it may be empty.
	Why string
}

// Outcome is a play with its report, or why there is none.
type Outcome struct {
	Play   Play
	Report Report
	// Err says why the day could not be played; nil if it was.
	Err error
}

// Trouble says why a play does not count as good: it failed, it broke rules or something
// speaks against counting it. It is empty for a good one.
func (o Outcome) Trouble() string {
	switch {
	case o.Err != nil:
		return "not played: " + o.Err.Error()
	case len(o.Report.Broken) > 0 || o.Report.Fault != "":
		return "broken " + o.Report.BrokenText()
	}
	return ""
}

// PlayAll plays the days, a few at a time, and returns their outcomes in the same
// order.
func (p Player) PlayAll(ctx context.Context, plays []Play, jobs int) []Outcome {
	outcomes := make([]Outcome, len(plays))
	turns := make(chan struct{}, max(1, jobs))
	var wg sync.WaitGroup
	for i, play := range plays {
		turns <- struct{}{}
		wg.Go(func() {
			defer func() { <-turns }()
			report, err := p.play(ctx, play)
			outcomes[i] = Outcome{Play: play, Report: report, Err: err}
		})
	}
	wg.Wait()
	return outcomes
}

// play has the bench play the day and reads its report.
func (p Player) play(ctx context.Context, play Play) (Report, error) {
	target, err := os.CreateTemp("", "day-*.json")
	if err != nil {
		return Report{}, errors.Wrap(err, "make room for the report")
	}
	defer func() { _ = os.Remove(target.Name()) }()
	_ = target.Close() // the bench writes it
	command := exec.CommandContext(ctx, p.Program, p.arguments(play, target.Name())...)
	command.Dir = play.Dir
	if output, err := command.CombinedOutput(); err != nil {
		return Report{}, errors.Wrapf(err, "play %s: %s", play.Day, lastLine(output))
	}
	data, err := os.ReadFile(target.Name())
	if err != nil {
		return Report{}, errors.Wrap(err, "read the report")
	}
	return ParseReport(data)
}

// arguments returns the bench's command line.
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

// lastLine returns the last line that a program wrote, where it says why it ended.
func lastLine(output []byte) string {
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	return lines[len(lines)-1]
}
