package cli

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/operatorapi"
)

// newShow returns the command that lists services and backend servers as a daemon sees them.
func newShow() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "list services or backend servers as observed by the daemon",
		Commands: []*cli.Command{
			{Name: "services", Usage: "list the services", Action: runShowServices},
			{Name: "backend-servers", Usage: "list the backend servers of one service or of all services", ArgsUsage: "[SERVICE]", Action: runShowServers},
		},
	}
}

func runShowServices(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	services, err := client.ListServices(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, s := range services {
		deadline := time.Duration(s.DeadlineMs) * time.Millisecond
		rows = append(rows, []string{
			s.Name, strconv.Itoa(s.BackendServers), strconv.Itoa(s.Able), strconv.Itoa(s.Floor),
			deadline.String(), s.Detection, s.Adoption,
		})
	}
	return show(c, services, []string{"SERVICE", "SERVERS", "ABLE", "FLOOR", "DEADLINE", "DETECTION", "ADOPTION"}, rows)
}

func runShowServers(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	var params operatorapi.ListBackendServersParams
	if service := c.Args().First(); service != "" {
		params.Service = operatorapi.NewOptString(service)
	}
	servers, err := client.ListBackendServers(ctx, params)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, b := range servers {
		rows = append(rows, []string{
			b.Name, b.Service, b.DataCentre, b.State, orDash(b.Cause), fmt.Sprintf("%.2f", b.Load),
			strconv.FormatInt(b.Requests, 10), strconv.FormatInt(b.Failures, 10),
		})
	}
	return show(c, servers, []string{"BACKEND SERVER", "SERVICE", "DATA CENTRE", "STATE", "CAUSE", "LOAD", "REQUESTS", "FAILURES"}, rows)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
