package cli

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/diff"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/result"
)

// newPlan returns the command that shows what an apply would change.
func newPlan() *cli.Command {
	return &cli.Command{
		Name:      "plan",
		Usage:     "validate a declaration and show what it would change",
		ArgsUsage: "FILE",
		Action:    runPlan,
	}
}

func runPlan(ctx context.Context, c *cli.Command) error {
	file, text, client, err := fileAndClient(c)
	if err != nil {
		return err
	}
	current, err := client.GetDeclaration(ctx)
	if isNotReady(err) {
		current, err = &operatorapi.Declaration{}, nil
	}
	if err != nil {
		return err
	}
	changes := diff.Diff("in force", []byte(current.Yaml), file, []byte(text))
	if len(changes) == 0 {
		changes = []byte("nothing would change\n")
	}
	if _, err := c.Root().Writer.Write(changes); err != nil {
		return errors.Wrap(err, "print plan")
	}
	return nil
}

// fileAndClient returns the name and the validated text of the declaration file,
// and a client of the daemon.
func fileAndClient(c *cli.Command) (file, text string, client *operatorapi.Client, err error) {
	file, err = oneArgument(c, "the declaration file")
	if err != nil {
		return "", "", nil, err
	}
	text, _, err = readDeclaration(file)
	if err != nil {
		return "", "", nil, err
	}
	client, err = newClient(c)
	return file, text, client, err
}

// isNotReady reports whether the daemon refused because it has no declaration in force.
func isNotReady(err error) bool {
	var refused *operatorapi.RefusedStatusCode
	return errors.As(err, &refused) && refused.Response.Code == result.NotReady.Number
}
