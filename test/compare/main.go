// Command compare plays the same days with two builds of the sources and prints how the
// second differs from the first.
//
// # Usage
//
//	go run ./test/compare --bench PATH --site FILE --before DIR --after DIR \
//		--seeds 1,2,3 --why "what changed" [--jobs 8] DAY ...
//
// Each of the two folders is the root of a checkout. Every day is played with every seed in
// both, so that the two plays of a pair differ only in the sources. For each day and for all
// days together it prints the mean difference of the second play from the first and its
// standard error, for the worth, the share of requests served and the price of bytes between
// data centres. A difference of less than twice its standard error is not significant. Plays
// that failed or broke rules are listed with their day and seed.
//
// Package bench computes the pairs and their differences.
package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/test/bench"
)

// defaultJobs is the default number of concurrent plays.
const defaultJobs = 8

func main() { bench.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "plays days with two builds and prints the difference",
		Flags: append(bench.Flags(defaultJobs),
			&cli.StringFlag{Name: "before", Usage: "the first checkout", Required: true},
			&cli.StringFlag{Name: "after", Usage: "the second checkout", Required: true},
			bench.SeedsFlag(),
			&cli.StringFlag{Name: "why", Usage: "the reason to write in the journals"},
		),
		Action: run,
	}
}

// run plays the pairs and prints their differences.
func run(ctx context.Context, c *cli.Command) error {
	days := c.Args().Slice()
	if len(days) == 0 {
		return errors.New("no day given: want at least one as an argument")
	}
	player, err := bench.PlayerFromFlags(c)
	if err != nil {
		return err
	}
	plays := bench.PlaysFromFlags(c, c.String("why"), c.String("before"), c.String("after"))
	outcomes := player.PlayAll(ctx, plays, c.Int("jobs"))
	pairs := bench.Pairs(outcomes)
	for _, day := range days {
		fmt.Println(bench.FormatLine(day, bench.FilterByDay(pairs, day)))
	}
	fmt.Println(bench.FormatLine("all", pairs))
	for _, o := range outcomes {
		if failure := o.FailureText(); failure != "" {
			fmt.Printf("%s seed %d in %s: %s\n", o.Play.Day, o.Play.Seed, o.Play.Dir, failure)
		}
	}
	return nil
}
