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
//
// main.go reads the flags and finds the days, table.go prints what became of them; package
// bench plays them.
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
	// daysDir holds the days, seen from the root of the repository, where the bench runs.
	daysDir = "test/days/days"
	// dayEnding is what the name of a day's file ends with.
	dayEnding = ".toml"
	// daysAtATime is how many days are played at a time unless said otherwise.
	daysAtATime = 4
)

func main() { bench.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:   "days",
		Usage:  "plays days of our own on the users' bench",
		Flags:  bench.Flags(daysAtATime),
		Action: run,
	}
}

// run plays the days and prints the table.
func run(ctx context.Context, c *cli.Command) error {
	files, err := dayFiles(c.Args().Slice())
	if err != nil {
		return err
	}
	player, err := bench.PlayerOf(c)
	if err != nil {
		return err
	}
	plays := make([]bench.Play, 0, len(files))
	for _, file := range files {
		plays = append(plays, bench.Play{Day: file})
	}
	outcomes := player.PlayAll(ctx, plays, c.Int("jobs"))
	bad := 0
	for _, o := range outcomes {
		fmt.Println(line(o))
		if o.Trouble() != "" {
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
		files, err := filepath.Glob(filepath.Join(daysDir, "*"+dayEnding))
		if err != nil {
			return nil, errors.Wrap(err, "list days")
		}
		return files, nil
	}
	files := make([]string, 0, len(names))
	for _, name := range names {
		files = append(files, filepath.Join(daysDir, strings.TrimSuffix(name, dayEnding)+dayEnding))
	}
	return files, nil
}
