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
		Usage:     "drain a backend server: it completes its requests and receives no new ones",
		ArgsUsage: "BACKEND-SERVER",
		Action:    func(ctx context.Context, c *cli.Command) error { return runDrain(ctx, c, true) },
	}
}

// newUndrain returns the command that ends the draining of a backend server.
func newUndrain() *cli.Command {
	return &cli.Command{
		Name:      "undrain",
		Usage:     "end the draining of a backend server, so that it receives new requests again",
		ArgsUsage: "BACKEND-SERVER",
		Action:    func(ctx context.Context, c *cli.Command) error { return runDrain(ctx, c, false) },
	}
}

func runDrain(ctx context.Context, c *cli.Command, draining bool) error {
	name, err := oneArgument(c, "the name of the backend server")
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
	_, err = fmt.Fprintf(c.Root().Writer, "%s is %s, %d requests in flight\n", server.Name, server.State, server.InFlight)
	return err
}
