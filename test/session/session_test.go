package session

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/tideliftd/tidelift/internal/cli"
	"github.com/tideliftd/tidelift/test/harness"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tidelift": func() {
			os.Exit(cli.RunOperator(context.Background(), os.Args, os.Stdout, os.Stderr))
		},
		"tideliftd": func() {
			os.Exit(cli.RunDaemon(context.Background(), os.Args, os.Stdout, os.Stderr))
		},
	})
}

// TestWithoutDaemon runs the sessions that need no daemon.
func TestWithoutDaemon(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/alone", UpdateScripts: os.Getenv("UPDATE_GOLDEN") != ""})
}

// TestCatalogue runs the sessions of the library catalogue customer, each with its own fleet.
func TestCatalogue(t *testing.T) {
	runWithFleet(t, "testdata/catalogue", harness.Spec{
		DataCentres: []string{"angyalfold", "csepel", "obuda"},
		HostsEach:   1,
		Services: []harness.Service{
			{Name: "lookup", Floor: 4, Servers: 6, Deadline: 1500 * time.Millisecond},
			{Name: "records", Floor: 2, Servers: 3, Deadline: 2 * time.Second},
		},
	})
}

// TestPlanning runs the sessions of the planning co-operative, each with its own fleet.
func TestPlanning(t *testing.T) {
	runWithFleet(t, "testdata/planning", harness.Spec{
		DataCentres: []string{"muenchen-nord", "muenchen-sued", "rosenheim", "weilheim"},
		HostsEach:   1,
		Services: []harness.Service{
			{Name: "akten", Floor: 6, Servers: 9, Slots: 6, Detection: "swift", Deadline: 800 * time.Millisecond},
			{Name: "antraege", Floor: 3, Servers: 4, Slots: 6, Detection: "swift", Deadline: 1500 * time.Millisecond},
		},
	})
}

func runWithFleet(t *testing.T, dir string, spec harness.Spec) {
	t.Helper()
	programs, remove, err := harness.Build()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(remove)
	spec.Programs = programs
	testscript.Run(t, testscript.Params{
		Dir:           dir,
		UpdateScripts: os.Getenv("UPDATE_GOLDEN") != "",
		Setup: func(env *testscript.Env) error {
			fleetSpec := spec
			fleetSpec.Dir = env.WorkDir
			f, cleanUp, err := harness.Start(fleetSpec)
			if err != nil {
				return err
			}
			env.Defer(cleanUp)
			env.Setenv("TIDELIFT_DAEMON", "http://"+f.Daemons[0].OperatorsAddress())
			env.Setenv("CALLERS", f.Daemons[0].CallersAddress())
			env.Setenv("USER", "erzsi")
			return os.WriteFile(env.WorkDir+"/fleet.yaml", []byte(f.Declaration()), 0o600)
		},
	})
}
