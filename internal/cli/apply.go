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

// newApply returns the command that puts a declaration in force.
func newApply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a declaration in force, whole or not at all",
		ArgsUsage: "FILE",
		Description: "If the answer is lost, run the printed command again with its change id:\n" +
			"one id is one change, however often it is applied.",
		Flags:  changeFlags(),
		Action: runApply,
	}
}

// changeFlags are the flags of the commands that change the declaration.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagAuthor, Usage: "who makes the change", Sources: cli.EnvVars("USER")},
		&cli.StringFlag{Name: flagReason, Usage: "why"},
		&cli.Int64Flag{Name: flagBase, Usage: "the revision the change is based on", DefaultText: "the one in force", Value: -1},
		&cli.StringFlag{Name: flagChangeID, Usage: "the change's id, to resume one whose answer was lost", DefaultText: "a new one"},
		&cli.BoolFlag{Name: flagWait, Usage: "wait until every daemon has it in force"},
	}
}

func runApply(ctx context.Context, c *cli.Command) error {
	_, text, client, err := fileAndClient(c)
	if err != nil {
		return err
	}
	return applyText(ctx, c, client, text)
}

// applyText applies a declaration and, if asked to, waits for every daemon.
func applyText(ctx context.Context, c *cli.Command, client *operatorapi.Client, text string) error {
	base, err := baseRevision(ctx, c, client)
	if err != nil {
		return err
	}
	change := newChange(c, text, base)
	accepted, err := client.ApplyDeclaration(ctx, change)
	if err != nil {
		return errors.Wrapf(changeFailed(err), "apply (change id %s, base %d)", change.ChangeID, base)
	}
	if err := showAccepted(c, accepted); err != nil {
		return err
	}
	if !c.Bool(flagWait) {
		return nil
	}
	return waitInForce(ctx, c, client, accepted.Revision)
}

// showAccepted prints the revision that the change became.
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
	// waitLimit bounds how long a change is waited for. Not measured: it is in force within
	// seconds, so that what takes longer is a fault.
	waitLimit = 30 * time.Second
	// waitPause is the pause between two questions how far the change has come. Not measured:
	// each question asks every daemon.
	waitPause = 200 * time.Millisecond
)

// waitInForce waits until every daemon has the revision in force, and prints how many have in
// each data centre, also if the wait ends without. A daemon that does not answer is asked again.
func waitInForce(ctx context.Context, c *cli.Command, client *operatorapi.Client, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	var last []operatorapi.Progress // of the last answer
	for {
		progress, err := client.GetProgress(ctx, operatorapi.GetProgressParams{Revision: revision})
		if err == nil && everywhere(progress) {
			return showProgress(c, progress)
		}
		if err == nil {
			last = progress
		}
		if !wait.For(ctx, waitPause) {
			missing := errors.Wrapf(errNotEverywhere, "revision %d, after up to %s", revision, waitLimit)
			return errors.Join(showProgress(c, last), missing, err)
		}
	}
}

func everywhere(progress []operatorapi.Progress) bool {
	for _, p := range progress {
		if p.InForce < p.Daemons {
			return false
		}
	}
	return true
}

// showProgress prints how many daemons have a revision in force. With JSON the accepted revision is the one
// document, and the exit code says whether it is in force everywhere.
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
	return 0, errors.Wrap(err, "ask for the revision in force")
}
