package cli

import (
	"bufio"
	"context"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/customer"
)

const flagStdin = "stdin"

// newKey returns the command that generates a customer's key.
func newKey() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "generate a customer key and its digest for the declaration; needs no daemon",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagStdin, Usage: "read the key from standard input instead of generating one, and print only its digest"},
		},
		Action: runKey,
	}
}

func runKey(_ context.Context, c *cli.Command) error {
	key := customer.NewKey()
	if c.Bool(flagStdin) {
		given, err := readKey(c.Root().Reader)
		if err != nil {
			return err
		}
		key = given
	}
	shown := struct {
		Key    string `json:"key"`
		Digest string `json:"digest"`
	}{key, customer.Digest(key)}
	rows := [][]string{{"key", shown.Key}, {"digest", shown.Digest}}
	if c.Bool(flagStdin) {
		shown.Key = "" // the user already has the key
		rows = rows[1:]
	}
	return show(c, shown, []string{"FIELD", "VALUE"}, rows)
}

// readKey returns the first line of in without surrounding space.
func readKey(in io.Reader) (string, error) {
	line, err := bufio.NewReader(in).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", errors.Wrap(err, "read key")
	}
	key := strings.TrimSpace(line)
	if key == "" || len(key) > customer.MaxKeyBytes {
		return "", errors.Wrapf(errUsage, "the key has %d bytes; want 1 to %d", len(key), customer.MaxKeyBytes)
	}
	return key, nil
}
