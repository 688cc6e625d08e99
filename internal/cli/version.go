package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/version"
)

// newVersion returns the command that prints the version.
func newVersion() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, c.Root().Name, version.Version)
			return err
		},
	}
}
