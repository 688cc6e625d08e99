package bench

import "github.com/urfave/cli/v3"

// SeedsFlag is the flag of a command that plays each day with several seeds.
func SeedsFlag() cli.Flag {
	return &cli.IntSliceFlag{Name: "seeds", Usage: "the seeds of each day", Value: []int{1, 2, 3}}
}

// Flags returns the flags of a command that plays days: the bench, the site and how many
// days are played at a time.
func Flags(jobs int) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "bench", Usage: "the bench's program", Required: true},
		&cli.StringFlag{Name: "site", Usage: "the site file", Required: true},
		&cli.IntFlag{Name: "jobs", Usage: "days played at a time", Value: jobs},
	}
}
