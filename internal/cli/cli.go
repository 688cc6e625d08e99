// Package cli implements the commands of the programs tideliftd and tidelift, one file per command.
// It parses command lines, prints results and sets exit codes. The commands of tidelift call the
// operator API of a daemon (client.go) and keep no state. The command of tideliftd reads the
// settings, connects package platform to package daemon, and manages the process: its signals, its
// log and its resource limits (daemon.go, reload.go).
//
// # Usage
//
//	os.Exit(cli.RunOperator(ctx, os.Args, os.Stdout, os.Stderr))
//
// Exit codes: 0 success, 1 refused or failed, 2 invalid command line or file,
// 3 outcome of a change unknown, 4 change accepted but not seen in force
// everywhere.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/version"
	"github.com/tideliftd/tidelift/internal/yamlfile"
)

// The exit codes.
const (
	ExitDone    = 0
	ExitRefused = 1
	ExitUsage   = 2
	ExitUnknown = 3
	// ExitNotEverywhere means that the change was accepted but not seen in force at every daemon.
	ExitNotEverywhere = 4
)

// errUsage marks an invalid command line.
var errUsage = errors.New("invalid command line")

// errNotEverywhere marks a change that was accepted but not seen in force at every daemon.
var errNotEverywhere = errors.New("change accepted, but not seen in force at every daemon")

// RunOperator runs the program tidelift and returns its exit code.
func RunOperator(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &cli.Command{
		Name:  "tidelift",
		Usage: "inspect and operate a fleet of tideliftd daemons",
		Description: "tidelift uses the operator API of any daemon of the fleet.\n\n" +
			"  tidelift check fleet.yaml               validates a declaration without a daemon\n" +
			"  tidelift plan fleet.yaml                shows what the declaration would change\n" +
			"  tidelift apply --wait fleet.yaml        applies it atomically and waits until it is in force\n" +
			"  tidelift show services                  lists services and their capacity\n" +
			"  tidelift show backend-servers lookup    lists the backend servers of service lookup\n" +
			"  tidelift why csepel/lookup-1            shows the evidence for the state of a backend server\n\n" +
			"Exit codes: 0 success; 1 refused or failed; 2 the command line or a file is\n" +
			"invalid; 3 the outcome of a change is unknown; 4 the change was accepted, but\n" +
			"apply --wait did not see it in force at every daemon.",
		Version:               version.Version,
		EnableShellCompletion: true,
		Writer:                out,
		ErrWriter:             errOut,
		Flags:                 []cli.Flag{daemonFlag(), tokenFlag(), jsonFlag()},
		Commands: []*cli.Command{
			newCheck(), newPlan(), newApply(), newExport(), newHistory(), newRollback(), newStatus(), newShow(), newCustomers(), newKey(), newQuarantine(), newWhy(), newRequest(), newDrain(), newUndrain(), newEvacuate(), newSchema(), newVersion(),
		},
	}
	return run(ctx, root, args, errOut)
}

// RunDaemon runs the program tideliftd and returns its exit code.
func RunDaemon(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newDaemon()
	root.Writer = out
	root.ErrWriter = errOut
	return run(ctx, root, args, errOut)
}

func run(ctx context.Context, root *cli.Command, args []string, errOut io.Writer) int {
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	root.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return errors.Join(errUsage, err)
	}
	err := root.Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintln(errOut, explain(err))
	return exitCode(err)
}

// explain returns the text to print for an error: the code and detail of a
// refusal, or the text of any other error.
func explain(err error) string {
	var refused *operatorapi.RefusedStatusCode
	if !errors.As(err, &refused) {
		return err.Error()
	}
	r := refused.Response
	return fmt.Sprintf("refused: %d %s: %s", r.Code, r.Name, r.Detail)
}

func exitCode(err error) int {
	var wrongFile *yamlfile.Error
	var unknown *outcomeUnknownError
	switch {
	case errors.Is(err, errUsage), errors.As(err, &wrongFile):
		return ExitUsage
	case errors.Is(err, errNotEverywhere):
		return ExitNotEverywhere
	case errors.As(err, &unknown):
		return ExitUnknown
	default:
		return ExitRefused
	}
}

// oneArgument returns the command's only argument.
func oneArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", errors.Wrapf(errUsage, "%s requires one argument, %s", c.Name, what)
	}
	return c.Args().First(), nil
}
