// Command tidelift is the command-line client for operators.
package main

import (
	"context"
	"os"

	"github.com/tideliftd/tidelift/internal/cli"
)

func main() {
	os.Exit(cli.RunOperator(context.Background(), os.Args, os.Stdout, os.Stderr))
}
