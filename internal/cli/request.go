package cli

import (
	"context"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/trace"
)

// newRequest returns the command that prints the history of a request from logs.
func newRequest() *cli.Command {
	return &cli.Command{
		Name:      "request",
		Usage:     "print the history of a request from logs",
		ArgsUsage: "REQUEST-ID [LOG...]",
		Description: "The lines of all logs are merged by time; without LOG, standard input is read.\n" +
			"docs/OPERATIONS.md explains how to find the cause from the history.",
		Action: runRequest,
	}
}

func runRequest(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.Wrap(errUsage, "request requires a request ID, and logs or standard input")
	}
	story := trace.New(c.Args().First())
	if c.Args().Len() == 1 {
		if err := story.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Args().Tail() {
		if err := readLog(story, name); err != nil {
			return err
		}
	}
	return story.Write(c.Root().Writer)
}

func readLog(story *trace.Timeline, name string) error {
	log, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	if err := story.Read(log); err != nil {
		return errors.Wrapf(err, "log %s", name)
	}
	return nil
}
