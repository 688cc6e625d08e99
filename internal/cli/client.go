package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/bound"
	"github.com/tideliftd/tidelift/internal/operatorapi"
)

const (
	flagDaemon = "daemon"
	flagToken  = "token"
	flagJSON   = "json"

	defaultDaemon = "http://127.0.0.1:7403"
)

func daemonFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    flagDaemon,
		Usage:   "URL of the operator API of any daemon",
		Value:   defaultDaemon,
		Sources: cli.EnvVars("TIDELIFT_DAEMON"),
	}
}

func tokenFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    flagToken,
		Usage:   "operator token, if the daemon requires one",
		Sources: cli.EnvVars("TIDELIFT_TOKEN"),
	}
}

// bearer is an HTTP client that adds the operator's token to requests.
type bearer struct{ token string }

// Do sends one request. The response is bounded, since the generated client reads all of it.
func (b bearer) Do(r *http.Request) (*http.Response, error) {
	if b.token != "" {
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	response, err := http.DefaultClient.Do(r) //nolint:gosec // the operator chooses the URL of the daemon
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, bound.OperatorAnswer)
	return response, nil
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagJSON, Usage: "print JSON instead of a table"}
}

func newClient(c *cli.Command) (*operatorapi.Client, error) {
	client, err := operatorapi.NewClient(c.String(flagDaemon), operatorapi.WithClient(bearer{token: c.String(flagToken)}))
	if err != nil {
		return nil, errors.Wrap(err, "create client")
	}
	return client, nil
}

// show prints the response as JSON if the JSON flag is set, and as a table otherwise.
func show(c *cli.Command, answer any, header []string, rows [][]string) error {
	if c.Bool(flagJSON) {
		return showJSON(c.Root().Writer, answer)
	}
	return showTable(c.Root().Writer, header, rows)
}

func showJSON(out io.Writer, answer any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(answer); err != nil {
		return errors.Wrap(err, "print JSON")
	}
	return nil
}

func showTable(out io.Writer, header []string, rows [][]string) error {
	plain := tw.Rendition{
		Borders:  tw.BorderNone,
		Settings: tw.Settings{Separators: tw.SeparatorsNone, Lines: tw.LinesNone},
	}
	var text bytes.Buffer
	table := tablewriter.NewTable(&text,
		tablewriter.WithRenderer(renderer.NewBlueprint(plain)),
		tablewriter.WithHeaderAlignment(tw.AlignLeft),
		tablewriter.WithRowAlignment(tw.AlignLeft),
		tablewriter.WithHeaderAutoFormat(tw.Off),
		tablewriter.WithTrimSpace(tw.Off),
		tablewriter.WithPadding(tw.Padding{Right: "  "}),
	)
	table.Header(header)
	if err := table.Bulk(rows); err != nil {
		return errors.Wrap(err, "fill table")
	}
	if err := table.Render(); err != nil {
		return errors.Wrap(err, "render table")
	}
	for line := range strings.Lines(text.String()) {
		if _, err := fmt.Fprintln(out, strings.TrimRight(line, " \n")); err != nil {
			return errors.Wrap(err, "print table")
		}
	}
	return nil
}
