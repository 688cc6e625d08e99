package cli

import (
	"context"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"
)

// newStatus returns the command that shows a daemon's status.
func newStatus() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show the identity and state of the daemon and the revision in force",
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	uptime := time.Duration(s.UptimeMs) * time.Millisecond
	return show(c, s, []string{"FIELD", "VALUE"}, [][]string{
		{"daemon", s.Daemon},
		{"data centre", s.DataCentre},
		{"version", s.Version},
		{"ready", strconv.FormatBool(s.Ready)},
		{"stopping", strconv.FormatBool(s.Stopping)},
		{"revision", strconv.FormatInt(s.Revision, 10)},
		{"platform", s.Platform},
		{"in flight", strconv.FormatInt(s.InFlight, 10)},
		{"uptime", uptime.Round(time.Second).String()},
	})
}
