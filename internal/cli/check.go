package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/fleet"
)

// newCheck returns the command that checks a declaration.
func newCheck() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate a declaration; needs no daemon",
		ArgsUsage: "FILE",
		Action:    runCheck,
	}
}

func runCheck(_ context.Context, c *cli.Command) error {
	file, err := oneArgument(c, "the declaration file")
	if err != nil {
		return err
	}
	_, d, err := readDeclaration(file)
	if err != nil {
		return err
	}
	servers := 0
	for _, s := range d.Services {
		servers += len(s.BackendServers)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s is valid: %d hosts, %d services, %d backend servers, %d routes\n",
		file, len(d.Hosts), len(d.Services), servers, len(d.Routes))
	return err
}

// readDeclaration reads and validates a declaration file, and returns its text as well.
func readDeclaration(file string) (string, fleet.Declaration, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fleet.Declaration{}, errors.Wrap(err, "read declaration")
	}
	d, err := fleet.Parse(file, data)
	return string(data), d, err
}
