package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/operatorapi"
)

// newDrain returns the command that drains a backend server.
func newDrain() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "let a backend server finish what it runs and give it nothing new",
		ArgsUsage: "BACKEND-SERVER",
		Action:    func(ctx context.Context, c *cli.Command) error { return runDrain(ctx, c, true) },
	}
}

// newUndrain returns the command that ends the draining of a backend server.
func newUndrain() *cli.Command {
	return &cli.Command{
		Name:      "undrain",
		Usage:     "give a drained backend server work again",
		ArgsUsage: "BACKEND-SERVER",
		Action:    func(ctx context.Context, c *cli.Command) error { return runDrain(ctx, c, false) },
	}
}

func runDrain(ctx context.Context, c *cli.Command, draining bool) error {
	name, err := oneArgument(c, "the backend server's name")
	if err != nil {
		return err
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	server, err := client.Drain(ctx, &operatorapi.Drain{BackendServer: name, Leaving: draining})
	if err != nil {
		return changeError(err)
	}
	if c.Bool(flagJSON) {
		return showJSON(c.Root().Writer, server)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s is %s, %d requests still run\n", server.Name, server.State, server.InFlight)
	return err
}
