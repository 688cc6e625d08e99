package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/operatorapi"
)

// newQuarantine returns the command that shows and lifts quarantines of requests.
func newQuarantine() *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "list suspected and quarantined requests and the backend servers that they ended",
		Description: "A request is suspected once a backend server has ended while running it, and quarantined\n" +
			"after three such ends without an answer in between. A quarantined request is refused with\n" +
			"code 2025 until a backend server answers it after all, or until the quarantine is lifted.",
		Action:   runQuarantine,
		Commands: []*cli.Command{newLift()},
	}
}

// newLift returns the command that lifts a quarantine.
func newLift() *cli.Command {
	return &cli.Command{
		Name:      "lift",
		Usage:     "lift the quarantine of a request, for example after a release that can handle it",
		ArgsUsage: "FINGERPRINT",
		Action:    runLift,
	}
}

func runQuarantine(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	held, err := client.ListQuarantine(ctx)
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(held))
	for _, request := range held {
		rows = append(rows, heldRequestRow(request))
	}
	return show(c, held, []string{"FINGERPRINT", "STANDING", "SERVICE", "REQUEST", "ENDED", "LAST", "TRIED BY"}, rows)
}

// heldRequestRow returns the table row of a request.
func heldRequestRow(r operatorapi.HeldRequest) []string {
	last := "-"
	if at, ok := r.LastEnd.Get(); ok {
		last = at.UTC().Format(time.RFC3339)
	}
	return []string{
		r.Fingerprint, r.Standing, r.Service, r.Method + " " + r.Host + r.Path,
		strings.Join(r.Ended, " "), last, r.Tried.Or("-"),
	}
}

func runLift(ctx context.Context, c *cli.Command) error {
	fingerprint, err := oneArgument(c, "the fingerprint of the request")
	if err != nil {
		return err
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	held, err := client.LiftQuarantine(ctx, &operatorapi.Lift{Fingerprint: fingerprint})
	if err != nil {
		return changeError(err)
	}
	if c.Bool(flagJSON) {
		return showJSON(c.Root().Writer, held)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s %s%s is no longer quarantined\n", held.Method, held.Host, held.Path)
	return err
}
