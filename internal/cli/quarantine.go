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
		Usage: "show the requests that no backend server is sent, or is soon, and whom they ended",
		Description: "A request is suspected once a backend server has ended while it ran it, and quarantined\n" +
			"after three without an answer in between. It is refused with code 2025 until a backend server\n" +
			"answers it after all, or it is lifted.",
		Action:   runQuarantine,
		Commands: []*cli.Command{newLift()},
	}
}

// newLift returns the command that lifts a quarantine.
func newLift() *cli.Command {
	return &cli.Command{
		Name:      "lift",
		Usage:     "let backend servers be sent a request again, as after a release that bears it",
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
	fingerprint, err := oneArgument(c, "the request's fingerprint")
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
	_, err = fmt.Fprintf(c.Root().Writer, "%s %s%s may run again\n", held.Method, held.Host, held.Path)
	return err
}
