package harness

import (
	"os"
	"testing"
)

// RunTests builds the programs into programs, runs the package's tests and exits with their status. It is
// meant to be the whole body of TestMain.
func RunTests(m *testing.M, programs *Programs) {
	built, cleanUp, err := Build()
	if err != nil {
		panic(err)
	}
	*programs = built
	code := m.Run()
	cleanUp()
	os.Exit(code)
}

// StartForTest starts a fleet that is stopped at the end of the test. Its logs are in Spec.Dir, or in the test's
// temporary directory if that is empty.
func StartForTest(t *testing.T, spec Spec) *Fleet {
	t.Helper()
	if spec.Dir == "" {
		spec.Dir = t.TempDir()
	}
	f, cleanUp, err := Start(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanUp)
	return f
}
