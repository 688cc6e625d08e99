// Command tideliftd is the daemon that runs on each host of backend servers.
package main

import (
	"context"
	"os"

	"github.com/tideliftd/tidelift/internal/cli"
)

func main() {
	os.Exit(cli.RunDaemon(context.Background(), os.Args, os.Stdout, os.Stderr))
}
