package cli

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	flagAuthor   = "author"
	flagReason   = "reason"
	flagBase     = "base"
	flagChangeID = "change-id"
	flagWait     = "wait"
)

// newApply returns the command that applies a declaration.
func newApply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "apply a declaration atomically",
		ArgsUsage: "FILE",
		Description: "If the outcome is unknown, run the command again with the change ID and base that\n" +
			"the error shows: a change ID denotes one change, however often it is applied.",
		Flags:  changeFlags(),
		Action: runApply,
	}
}

// changeFlags returns the flags of the commands that change the declaration.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagAuthor, Usage: "author of the change", Sources: cli.EnvVars("USER")},
		&cli.StringFlag{Name: flagReason, Usage: "reason for the change"},
		&cli.Int64Flag{Name: flagBase, Usage: "revision that the change is based on", DefaultText: "the revision in force", Value: -1},
		&cli.StringFlag{Name: flagChangeID, Usage: "ID of the change, to repeat one whose outcome is unknown", DefaultText: "a new ID"},
		&cli.BoolFlag{Name: flagWait, Usage: "wait until every daemon has the change in force"},
	}
}

func runApply(ctx context.Context, c *cli.Command) error {
	_, text, client, err := fileAndClient(c)
	if err != nil {
		return err
	}
	return applyText(ctx, c, client, text)
}

// applyText applies a declaration and, with the wait flag, waits until every daemon has it in force.
func applyText(ctx context.Context, c *cli.Command, client *operatorapi.Client, text string) error {
	base, err := baseRevision(ctx, c, client)
	if err != nil {
		return err
	}
	change := newChange(c, text, base)
	accepted, err := client.ApplyDeclaration(ctx, change)
	if err != nil {
		return errors.Wrapf(changeError(err), "apply (change ID %s, base %d)", change.ChangeID, base)
	}
	if err := showAccepted(c, accepted); err != nil {
		return err
	}
	if !c.Bool(flagWait) {
		return nil
	}
	return waitInForce(ctx, c, client, accepted.Revision)
}

// showAccepted prints the revision that the change created.
func showAccepted(c *cli.Command, accepted *operatorapi.Declaration) error {
	if c.Bool(flagJSON) {
		return showJSON(c.Root().Writer, accepted)
	}
	if _, err := fmt.Fprintf(c.Root().Writer, "accepted as revision %d\n", accepted.Revision); err != nil {
		return errors.Wrap(err, "print result")
	}
	return nil
}

const (
	// waitTimeout limits the wait for a change to be in force everywhere, which normally takes seconds.
	waitTimeout = 30 * time.Second
	// progressInterval is the delay between progress requests, each of which queries every daemon.
	progressInterval = 200 * time.Millisecond
)

// waitInForce waits until every daemon has the revision in force and prints the counts by data centre,
// even if the wait times out. It repeats requests that fail or find daemons unresponsive.
func waitInForce(ctx context.Context, c *cli.Command, client *operatorapi.Client, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	var last []operatorapi.Progress // the last response
	for {
		progress, err := client.GetProgress(ctx, operatorapi.GetProgressParams{Revision: revision})
		if err == nil && inForceEverywhere(progress) {
			return showProgress(c, progress)
		}
		if err == nil {
			last = progress
		}
		if !wait.For(ctx, progressInterval) {
			missing := errors.Wrapf(errNotEverywhere, "revision %d, waited up to %s", revision, waitTimeout)
			return errors.Join(showProgress(c, last), missing, err)
		}
	}
}

func inForceEverywhere(progress []operatorapi.Progress) bool {
	for _, p := range progress {
		if p.InForce < p.Daemons {
			return false
		}
	}
	return true
}

// showProgress prints how many daemons have a revision in force. With the JSON flag it prints nothing, so that the
// accepted revision remains the only document; the exit code shows whether it is in force everywhere.
func showProgress(c *cli.Command, progress []operatorapi.Progress) error {
	if c.Bool(flagJSON) {
		return nil
	}
	rows := make([][]string, 0, len(progress))
	for _, p := range progress {
		rows = append(rows, []string{p.DataCentre, strconv.Itoa(p.Daemons), strconv.Itoa(p.InForce), strconv.Itoa(p.Silent)})
	}
	return showTable(c.Root().Writer, []string{"DATA CENTRE", "DAEMONS", "IN FORCE", "SILENT"}, rows)
}

func newChange(c *cli.Command, text string, base int64) *operatorapi.Change {
	id := c.String(flagChangeID)
	if id == "" {
		id = newChangeID()
	}
	return &operatorapi.Change{
		Yaml:         text,
		ChangeID:     id,
		BaseRevision: base,
		Author:       operatorapi.NewOptString(c.String(flagAuthor)),
		Reason:       operatorapi.NewOptString(c.String(flagReason)),
	}
}

// baseRevision returns the revision given, or the one in force at the daemon.
func baseRevision(ctx context.Context, c *cli.Command, client *operatorapi.Client) (int64, error) {
	if base := c.Int64(flagBase); base >= 0 {
		return base, nil
	}
	current, err := client.GetDeclaration(ctx)
	if err == nil {
		return current.Revision, nil
	}
	if isNotReady(err) {
		return 0, nil
	}
	return 0, errors.Wrap(err, "get the revision in force")
}
