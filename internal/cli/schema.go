package cli

import (
	"context"

	"github.com/invopop/jsonschema"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/settings"
)

// newSchema returns the command that prints the JSON Schemas of the configuration files.
func newSchema() *cli.Command {
	return &cli.Command{
		Name:  "schema",
		Usage: "print a JSON Schema for completion and validation in editors",
		Commands: []*cli.Command{
			{Name: "declaration", Usage: "print the schema of the fleet's declaration", Action: schemaOf(&fleet.Declaration{})},
			{Name: "settings", Usage: "print the schema of a daemon's settings", Action: schemaOf(&settings.Settings{})},
		},
	}
}

func schemaOf(v any) cli.ActionFunc {
	return func(_ context.Context, c *cli.Command) error {
		return showJSON(c.Root().Writer, jsonschema.Reflect(v))
	}
}
