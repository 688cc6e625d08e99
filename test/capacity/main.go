// Command capacity measures the costs of daemons for several fleet sizes and
// rewrites the tables of docs/CAPACITY.md.
//
// # Usage
//
//	go run ./test/capacity
//
// It loads synthetic declarations of several sizes into the components of a
// daemon, and runs fleets of real daemons, idle and while changes are applied.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

const page = "docs/CAPACITY.md"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run() error {
	loads, err := measureLoads()
	if err != nil {
		return err
	}
	if err := write("declaration", loads); err != nil {
		return err
	}
	fleets, err := measureFleets()
	if err != nil {
		return err
	}
	if err := write("fleets", fleets); err != nil {
		return err
	}
	fmt.Println("wrote the tables of", page)
	return nil
}

// write replaces the text between the markers of the page's part.
func write(part, text string) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	begin, end := "<!-- begin "+part+" -->\n", "<!-- end "+part+" -->"
	before, rest, ok := strings.Cut(string(data), begin)
	_, after, ok2 := strings.Cut(rest, end)
	if !ok || !ok2 {
		return errors.Errorf("%s has no markers for part %q", page, part)
	}
	if err := os.WriteFile(page, []byte(before+begin+"\n"+text+"\n"+end+after), 0o600); err != nil {
		return errors.Wrap(err, "write page")
	}
	return nil
}
