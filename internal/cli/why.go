package cli

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/operatorapi"
)

// newWhy returns the command that shows the evidence behind a state.
func newWhy() *cli.Command {
	return &cli.Command{
		Name:      "why",
		Usage:     "show the evidence for the state of a backend server",
		ArgsUsage: "BACKEND-SERVER",
		Description: "The evidence comes from two witnesses: the ingress of the queried daemon, which observes\n" +
			"the path from its host, and the sidecar, which observes all requests to the backend server.",
		Action: runWhy,
	}
}

func runWhy(ctx context.Context, c *cli.Command) error {
	name, err := oneArgument(c, "the name of the backend server")
	if err != nil {
		return err
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	why, err := client.Why(ctx, operatorapi.WhyParams{BackendServer: name})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, w := range why.Witnesses {
		rows = append(rows, witnessRows(w)...)
	}
	return show(c, why, []string{"WITNESS", "DAEMON", "WHAT", "VALUE"}, rows)
}

func witnessRows(w operatorapi.Witness) [][]string {
	rows := [][]string{{w.Witness, w.Daemon, "state", w.State}}
	for _, pair := range [][2]string{{"cause", w.Cause}, {"rule", w.Rule}, {"floor", w.Floor}} {
		if pair[1] != "" {
			rows = append(rows, []string{w.Witness, w.Daemon, pair[0], pair[1]})
		}
	}
	if w.SinceMs > 0 {
		since := time.Duration(w.SinceMs) * time.Millisecond
		rows = append(rows, []string{w.Witness, w.Daemon, "for", since.Round(100 * time.Millisecond).String()})
	}
	for _, e := range w.Evidence {
		rows = append(rows, []string{w.Witness, w.Daemon, e.Name, e.Value})
	}
	return rows
}
