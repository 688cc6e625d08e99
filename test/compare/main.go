// Command compare plays the same days with two builds of the sources and says how the
// second differs from the first.
//
// # Usage
//
//	go run ./test/compare --bench PATH --site FILE --before DIR --after DIR \
//		--seeds 1,2,3 --why "what changed" [--jobs 8] DAY ...
//
// Each of the two folders is the root of a checkout. Every day is played with every seed
// by both, so that the two plays of a pair differ by the sources and by what follows from
// them. For each day and for all together it prints the mean of the second less that of
// the first and the standard error of that mean: of the worth, the share that was served
// and the price of bytes between data centres. A difference of less than twice its error
// shows nothing. A rule that was broken is printed with its day and seed.
//
// The pairs and their figures are in test/bench.
package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/test/bench"
)

// daysAtATime is how many days are played at a time unless said otherwise.
const daysAtATime = 8

func main() { bench.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "plays days with two builds and prints the difference",
		Flags: append(bench.Flags(daysAtATime),
			&cli.StringFlag{Name: "before", Usage: "the first checkout", Required: true},
			&cli.StringFlag{Name: "after", Usage: "the second checkout", Required: true},
			bench.SeedsFlag(),
			&cli.StringFlag{Name: "why", Usage: "a line for the journals"},
		),
		Action: run,
	}
}

// run plays the pairs and prints how they differ.
func run(ctx context.Context, c *cli.Command) error {
	days := c.Args().Slice()
	if len(days) == 0 {
		return errors.New("no day is named")
	}
	player, err := bench.PlayerOf(c)
	if err != nil {
		return err
	}
	plays := bench.PlaysOf(c, c.String("why"), c.String("before"), c.String("after"))
	outcomes := player.PlayAll(ctx, plays, c.Int("jobs"))
	pairs := bench.Pairs(outcomes)
	for _, day := range days {
		fmt.Println(bench.Line(day, bench.OfDay(pairs, day)))
	}
	fmt.Println(bench.Line("all", pairs))
	for _, o := range outcomes {
		if trouble := o.Trouble(); trouble != "" {
			fmt.Printf("%s seed %d in %s: %s\n", o.Play.Day, o.Play.Seed, o.Play.Dir, trouble)
		}
	}
	return nil
}
