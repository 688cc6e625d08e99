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
		Usage: "print a JSON Schema, for an editor that completes and checks the files",
		Commands: []*cli.Command{
			{Name: "declaration", Usage: "the schema of the fleet's declaration", Action: schemaOf(&fleet.Declaration{})},
			{Name: "settings", Usage: "the schema of a daemon's settings", Action: schemaOf(&settings.Settings{})},
		},
	}
}

func schemaOf(v any) cli.ActionFunc {
	return func(_ context.Context, c *cli.Command) error {
		return showJSON(c.Root().Writer, jsonschema.Reflect(v))
	}
}
