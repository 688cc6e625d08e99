package cli

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/operatorapi"
)

// newHistory returns the command that lists the most recent changes.
func newHistory() *cli.Command {
	return &cli.Command{
		Name:   "history",
		Usage:  "list the most recent changes, newest first",
		Action: runHistory,
	}
}

func runHistory(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	changes, err := client.GetHistory(ctx)
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(changes))
	for _, change := range changes {
		rows = append(rows, []string{
			strconv.FormatInt(change.Revision, 10), change.At.Format(time.RFC3339), orDash(change.Author), orDash(change.Reason), change.ChangeID,
		})
	}
	return show(c, changes, []string{"REVISION", "AT", "AUTHOR", "REASON", "CHANGE"}, rows)
}

// newRollback returns the command that applies an earlier revision's text again.
func newRollback() *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "apply the text of an earlier revision again, as a new revision",
		ArgsUsage: "REVISION",
		Flags:     changeFlags(),
		Action:    runRollback,
	}
}

func runRollback(ctx context.Context, c *cli.Command) error {
	argument, err := oneArgument(c, "the revision number")
	if err != nil {
		return err
	}
	number, err := strconv.ParseInt(argument, 10, 64)
	if err != nil {
		return errors.Wrapf(errUsage, "%q is not a revision number", argument)
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	old, err := client.GetRevision(ctx, operatorapi.GetRevisionParams{Revision: number})
	if err != nil {
		return err
	}
	return applyText(ctx, c, client, old.Yaml)
}

// newChangeID returns a unique change id.
func newChangeID() string { return uuid.NewString() }
