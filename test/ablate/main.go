// Command ablate plays days with each mechanism of the project disabled in turn, and compares
// them with the same days with all mechanisms enabled.
//
// # Usage
//
//	go run ./test/ablate --bench PATH --site FILE [--seeds 1,2,3] [--jobs 8] [--off hedges,aims] DAY ...
//
// It plays the commit that is checked out, in clones that differ only in deploy/settings.yaml,
// and copies the clones' journal entries into this repository's journal. For each mechanism it
// prints a line as test/compare does for all days, with the plays with the mechanism before those
// without it. A difference of less than twice its standard error is not significant.
package main

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/test/bench"
)

const (
	// defaultJobs is the default number of concurrent plays.
	defaultJobs = 8
	// settingsFile is the template of the daemons' settings.
	settingsFile = "deploy/settings.yaml"
	// journal is the folder to which the bench writes an entry for each play.
	journal = "journal"
)

func main() { bench.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "ablate",
		Usage: "plays days with each mechanism disabled and prints the differences",
		Flags: append(bench.Flags(defaultJobs),
			bench.SeedsFlag(),
			&cli.StringSliceFlag{Name: "off", Usage: "the mechanisms to disable; all by default"},
		),
		Action: run,
	}
}

// run plays the days with all mechanisms, and then once without each selected mechanism.
func run(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("no day given: want at least one as an argument")
	}
	player, err := bench.PlayerFromFlags(c)
	if err != nil {
		return err
	}
	work, err := os.MkdirTemp("", "ablate-*")
	if err != nil {
		return errors.Wrap(err, "create folder for the clones")
	}
	defer func() { _ = os.RemoveAll(work) }()
	with, err := playIn(ctx, c, player, filepath.Join(work, "with"), "")
	if err != nil {
		return err
	}
	for _, m := range mechanisms(c) {
		without, err := playIn(ctx, c, player, filepath.Join(work, string(m)), m)
		if err != nil {
			return err
		}
		fmt.Println(bench.FormatLine(string(m), bench.Pairs(interleave(with, without))))
	}
	return nil
}

// mechanisms returns the mechanisms to disable in turn.
func mechanisms(c *cli.Command) []experiment.Mechanism {
	named := c.StringSlice("off")
	if len(named) == 0 {
		return experiment.All()
	}
	var all []experiment.Mechanism
	for _, name := range named {
		all = append(all, experiment.Mechanism(name))
	}
	return all
}

// playIn plays all days in a clone with the mechanism disabled. If off is empty, all are enabled.
func playIn(ctx context.Context, c *cli.Command, player bench.Player, dir string, off experiment.Mechanism) ([]bench.Outcome, error) {
	if err := cloneWithout(ctx, dir, off); err != nil {
		return nil, err
	}
	outcomes := player.PlayAll(ctx, bench.PlaysFromFlags(c, "ablation, off: "+string(off), dir), c.Int("jobs"))
	for _, o := range outcomes {
		if failure := o.FailureText(); failure != "" {
			fmt.Printf("off %q: %s seed %d: %s\n", off, o.Play.Day, o.Play.Seed, failure)
		}
	}
	return outcomes, copyJournal(dir)
}

// cloneWithout clones the current commit into the folder and disables the mechanism in its settings.
func cloneWithout(ctx context.Context, dir string, off experiment.Mechanism) error {
	if out, err := exec.CommandContext(ctx, "git", "clone", "--quiet", ".", dir).CombinedOutput(); err != nil {
		return errors.Wrapf(err, "clone repository: %s", out)
	}
	if off == "" {
		return nil
	}
	file := filepath.Join(dir, settingsFile)
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	data = append(data, []byte("experiments:\n  off: ["+string(off)+"]\n")...)
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return nil
}

// copyJournal copies the new journal entries of a clone into this repository.
func copyJournal(dir string) error {
	clone := os.DirFS(dir)
	return fs.WalkDir(clone, journal, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return errors.Wrap(err, "read the clone's journal")
		}
		if _, err := os.Stat(path); err == nil || e.IsDir() {
			return nil
		}
		data, err := fs.ReadFile(clone, path)
		if err != nil {
			return errors.Wrap(err, "read journal entry")
		}
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return errors.Wrap(err, "write journal entry")
		}
		return nil
	})
}

// interleave makes corresponding plays adjacent, as bench.Pairs expects them.
func interleave(with, without []bench.Outcome) []bench.Outcome {
	all := make([]bench.Outcome, 0, 2*len(with))
	for i := range with {
		all = append(all, with[i], without[i])
	}
	return all
}
