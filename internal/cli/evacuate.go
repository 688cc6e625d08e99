package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/operatorapi"
)

const (
	flagEnd   = "end"
	flagForce = "force"
)

// newEvacuate returns the command that evacuates a data centre.
func newEvacuate() *cli.Command {
	return &cli.Command{
		Name:  "evacuate",
		Usage: "evacuate a data centre: its backend servers complete their requests and receive no new ones",
		Description: "Without an argument, lists the data centres and whether they are evacuated. An evacuation\n" +
			"that would leave a service without a backend server is refused unless --force is given.",
		ArgsUsage: "[DATA-CENTRE]",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagEnd, Usage: "end the evacuation"},
			&cli.BoolFlag{Name: flagForce, Usage: "evacuate the data centre even if a service is left without a backend server"},
		},
		Action: runEvacuate,
	}
}

func runEvacuate(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return listEvacuations(ctx, c)
	}
	name, err := oneArgument(c, "the name of the data centre")
	if err != nil {
		return err
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	changed, err := client.SetEvacuation(ctx, &operatorapi.EvacuationChange{
		DataCentre: name,
		Evacuated:  !c.Bool(flagEnd),
		Force:      operatorapi.NewOptBool(c.Bool(flagForce)),
	})
	if err != nil {
		return changeError(err)
	}
	if c.Bool(flagJSON) {
		return showJSON(c.Root().Writer, changed)
	}
	state := "in use"
	if changed.Evacuated {
		state = "evacuated"
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s is %s, %d backend servers\n", changed.DataCentre, state, changed.BackendServers)
	return err
}

func listEvacuations(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	all, err := client.ListEvacuations(ctx)
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(all))
	for _, d := range all {
		rows = append(rows, []string{d.DataCentre, strconv.FormatBool(d.Evacuated), strconv.Itoa(d.BackendServers)})
	}
	return show(c, all, []string{"DATA CENTRE", "EVACUATED", "BACKEND SERVERS"}, rows)
}
