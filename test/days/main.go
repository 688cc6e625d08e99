// Command days plays days of our own on the users' bench and prints what became of
// them.
//
// # Usage
//
//	go run ./test/days --bench PATH --site FILE [--jobs 4] [DAY ...]
//
// A day is a TOML file in test/days/days, whose first line says what it is for. Without
// names all are played. The bench is the users' own program, and the site one of their
// files; neither is part of this repository, so that CI does not run this. The words
// inside the files are the bench's.
//
// The table has a line a day: the rules that were broken, the share of requests that
// was served, the worth and the two largest prices. The exit status is 1 if a rule was
// broken or a process ended by itself, or if a day could not be played.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// daysDir holds the days, seen from the root of the repository, where the bench runs.
const daysDir = "test/days/days"

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		slog.Error("days failed", "error", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "days",
		Usage: "plays days of our own on the users' bench",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bench", Usage: "the bench's program", Required: true},
			&cli.StringFlag{Name: "site", Usage: "the site file", Required: true},
			&cli.IntFlag{Name: "jobs", Usage: "days played at a time", Value: 4},
		},
		Action: run,
	}
}

// run plays the days and prints the table.
func run(ctx context.Context, c *cli.Command) error {
	files, err := dayFiles(c.Args().Slice())
	if err != nil {
		return err
	}
	p := player{bench: c.String("bench"), site: c.String("site")}
	outcomes := p.playAll(ctx, files, c.Int("jobs"))
	bad := 0
	for _, o := range outcomes {
		fmt.Println(o.line())
		if !o.good() {
			bad++
		}
	}
	if bad > 0 {
		return errors.Errorf("%d of %d days are not as they should be", bad, len(outcomes))
	}
	return nil
}

// dayFiles returns the files of the days named, or of all.
func dayFiles(names []string) ([]string, error) {
	if len(names) == 0 {
		files, err := filepath.Glob(filepath.Join(daysDir, "*.toml"))
		if err != nil {
			return nil, errors.Wrap(err, "list days")
		}
		return files, nil
	}
	files := make([]string, 0, len(names))
	for _, name := range names {
		files = append(files, filepath.Join(daysDir, strings.TrimSuffix(name, ".toml")+".toml"))
	}
	return files, nil
}

// player plays days on one site.
type player struct{ bench, site string }

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
	o := outcome{day: strings.TrimSuffix(filepath.Base(file), ".toml")}
	report, err := os.CreateTemp("", "day-*.json")
	if err != nil {
		o.err = errors.Wrap(err, "make room for the report")
		return o
	}
	defer func() { _ = os.Remove(report.Name()) }()
	_ = report.Close() // the bench writes it
	play := exec.CommandContext(ctx, p.bench, "run", p.site, file, "--no-cpu", "--report", report.Name())
	if output, err := play.CombinedOutput(); err != nil {
		o.err = errors.Wrapf(err, "play %s: %s", o.day, lastLine(output))
		return o
	}
	data, err := os.ReadFile(report.Name())
	if err != nil {
		o.err = errors.Wrap(err, "read the report")
		return o
	}
	o.report, o.err = parseReport(data)
	return o
}

func lastLine(output []byte) string {
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	return lines[len(lines)-1]
}

// report is what the bench tells of a day.
type report struct {
	// Worth is the day's mark before it is cut.
	Worth float64
	// Served is the share of requests that were served.
	Served float64
	// Broken names the rules that were broken.
	Broken []string
	// Fault says why the day does not count, as a process that ended; it may be empty.
	Fault string
	// Prices are what was taken off, the largest first.
	Prices []price
}

// price is one thing that costs worth.
type price struct {
	Of    string
	Worth float64
}

// parseReport reads the bench's report of a day.
func parseReport(data []byte) (report, error) {
	var wire struct {
		G      float64                    `json:"G"` // the worth
		Served float64                    `json:"served"`
		Breaks map[string]json.RawMessage `json:"breaks"`
		Fault  *string                    `json:"fault"`
		Prices [][]any                    `json:"prices"` // name, amount, worth
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return report{}, errors.Wrap(err, "read the report")
	}
	r := report{Worth: wire.G, Served: wire.Served}
	for rule := range wire.Breaks {
		r.Broken = append(r.Broken, rule)
	}
	slices.Sort(r.Broken)
	if wire.Fault != nil {
		r.Fault = *wire.Fault
	}
	for _, row := range wire.Prices {
		p, err := parsePrice(row)
		if err != nil {
			return report{}, err
		}
		r.Prices = append(r.Prices, p)
	}
	slices.SortStableFunc(r.Prices, func(a, b price) int {
		switch {
		case a.Worth > b.Worth:
			return -1
		case a.Worth < b.Worth:
			return 1
		}
		return 0
	})
	return r, nil
}

func parsePrice(row []any) (price, error) {
	const fields = 3
	if len(row) != fields {
		return price{}, errors.Errorf("a price has %d fields, want %d", len(row), fields)
	}
	of, isName := row[0].(string)
	worth, isWorth := row[2].(float64)
	if !isName || !isWorth {
		return price{}, errors.Errorf("price %v: want a name, an amount and a worth", row)
	}
	return price{Of: of, Worth: worth}, nil
}

// outcome is what became of a day.
type outcome struct {
	day    string
	report report
	err    error
}

func (o outcome) good() bool {
	return o.err == nil && len(o.report.Broken) == 0 && o.report.Fault == ""
}

// line is the day's line of the table.
func (o outcome) line() string {
	if o.err != nil {
		return fmt.Sprintf("%-32s not played: %v", o.day, o.err)
	}
	const shown = 2
	prices := make([]string, 0, shown)
	for _, p := range o.report.Prices[:min(shown, len(o.report.Prices))] {
		prices = append(prices, fmt.Sprintf("%s %.3f", p.Of, p.Worth))
	}
	broken := "none"
	if len(o.report.Broken) > 0 {
		broken = strings.Join(o.report.Broken, " ")
	}
	if o.report.Fault != "" {
		broken += "; " + o.report.Fault
	}
	return fmt.Sprintf("%-32s broken %-12s served %.3f worth %.3f; %s", o.day, broken, o.report.Served, o.report.Worth, strings.Join(prices, ", "))
}
