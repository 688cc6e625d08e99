// Command days plays this project's days on the users' bench and prints their results.
//
// # Usage
//
//	go run ./test/days --bench PATH --site FILE [--jobs 4] [DAY ...]
//
// A day is a TOML file in test/days/days whose first line describes its purpose. Without
// names, all days are played. The bench is the users' own program, and the site one of
// their files; neither is part of this repository, so that CI does not run this command.
// The bench defines the format of the files.
//
// The table has one line for each day: the broken rules, the share of requests that were
// served, the worth and the two largest prices. The exit status is 1 if a rule was broken,
// a process ended unexpectedly or a day could not be played.
//
// main.go reads the flags and finds the days, and table.go formats the results; package
// bench runs the plays.
package main

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/test/bench"
)

const (
	// daysDir is the folder of the days, relative to the root of the repository, where the bench runs.
	daysDir = "test/days/days"
	// dayExt is the file name extension of a day.
	dayExt = ".toml"
	// defaultJobs is the default number of concurrent plays.
	defaultJobs = 4
)

func main() { bench.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:   "days",
		Usage:  "plays this project's days on the users' bench",
		Flags:  bench.Flags(defaultJobs),
		Action: run,
	}
}

// run plays the days and prints the table.
func run(ctx context.Context, c *cli.Command) error {
	files, err := dayFiles(c.Args().Slice())
	if err != nil {
		return err
	}
	player, err := bench.PlayerFromFlags(c)
	if err != nil {
		return err
	}
	plays := make([]bench.Play, 0, len(files))
	for _, file := range files {
		plays = append(plays, bench.Play{Day: file})
	}
	outcomes := player.PlayAll(ctx, plays, c.Int("jobs"))
	failed := 0
	for _, o := range outcomes {
		fmt.Println(formatLine(o))
		if o.FailureText() != "" {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d days failed or broke rules", failed, len(outcomes))
	}
	return nil
}

// dayFiles returns the files of the named days, or of all days if there are no names.
func dayFiles(names []string) ([]string, error) {
	if len(names) == 0 {
		files, err := filepath.Glob(filepath.Join(daysDir, "*"+dayExt))
		if err != nil {
			return nil, errors.Wrap(err, "list days")
		}
		return files, nil
	}
	files := make([]string, 0, len(names))
	for _, name := range names {
		files = append(files, filepath.Join(daysDir, strings.TrimSuffix(name, dayExt)+dayExt))
	}
	return files, nil
}
