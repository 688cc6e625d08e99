package bench

import (
	"context"
	"log/slog"
	"os"

	"github.com/urfave/cli/v3"
)

// Main runs a command that plays days. It exits with status 1 on an error.
func Main(command *cli.Command) {
	if err := command.Run(context.Background(), os.Args); err != nil {
		slog.Error(command.Name+" failed", "error", err)
		os.Exit(1)
	}
}

// Flags returns the flags of a command that plays days: the bench, the site and the number
// of concurrent plays, with jobs as its default.
func Flags(jobs int) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "bench", Usage: "the bench's program", Required: true},
		&cli.StringFlag{Name: "site", Usage: "the site file", Required: true},
		&cli.IntFlag{Name: "jobs", Usage: "days played at a time", Value: jobs},
	}
}

// SeedsFlag returns the flag of a command that plays each day with several seeds.
func SeedsFlag() cli.Flag {
	return &cli.IntSliceFlag{Name: "seeds", Usage: "the seeds of each day", Value: []int{1, 2, 3}}
}

// PlayerFromFlags returns the player that the command's flags select.
func PlayerFromFlags(c *cli.Command) (Player, error) {
	return NewPlayer(c.String("bench"), c.String("site"))
}

// PlaysFromFlags returns the plays of every day in the command's arguments with every seed in every
// folder. The plays of the same day and seed are adjacent.
func PlaysFromFlags(c *cli.Command, why string, dirs ...string) []Play {
	days, seeds := c.Args().Slice(), c.IntSlice("seeds")
	plays := make([]Play, 0, len(days)*len(seeds)*len(dirs))
	for _, day := range days {
		for _, seed := range seeds {
			for _, dir := range dirs {
				plays = append(plays, Play{Day: day, Seed: seed, Dir: dir, Why: why})
			}
		}
	}
	return plays
}
