package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

// Programs are the built programs.
type Programs struct {
	// Dir is the folder that contains them.
	Dir string
}

// Build builds the programs into a temporary folder, which the returned
// function removes. If TIDELIFT_RACE is set, they are built with the race
// detector.
func Build() (Programs, func(), error) {
	root, err := moduleRoot()
	if err != nil {
		return Programs{}, nil, err
	}
	dir, err := os.MkdirTemp("", "tidelift-")
	if err != nil {
		return Programs{}, nil, errors.Wrap(err, "create folder for the programs")
	}
	remove := func() { _ = os.RemoveAll(dir) }
	arguments := []string{"build", "-o", dir + string(filepath.Separator)}
	if os.Getenv("TIDELIFT_RACE") != "" {
		arguments = append(arguments, "-race")
	}
	build := exec.Command("go", append(arguments, "./cmd/...", "./test/cmd/...")...)
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		remove()
		return Programs{}, nil, errors.Wrapf(err, "build programs: %s", output)
	}
	return Programs{Dir: dir}, remove, nil
}

// Path returns the path of a built program.
func (p Programs) Path(name string) string { return filepath.Join(p.Dir, name) }

func moduleRoot() (string, error) {
	output, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", errors.Wrap(err, "find module")
	}
	return filepath.Dir(strings.TrimSpace(string(output))), nil
}
