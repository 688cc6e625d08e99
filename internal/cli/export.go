package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// newExport returns the command that prints the declaration in force.
func newExport() *cli.Command {
	return &cli.Command{
		Name:   "export",
		Usage:  "print the declaration in force as YAML",
		Action: runExport,
	}
}

func runExport(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	current, err := client.GetDeclaration(ctx)
	if err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return showJSON(c.Root().Writer, current)
	}
	_, err = fmt.Fprint(c.Root().Writer, current.Yaml)
	return err
}
