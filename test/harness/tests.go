package harness

import (
	"os"
	"testing"
)

// RunTests builds the programs, runs the tests of a package with them and ends the process with
// their verdict. It is all that such a package's TestMain does.
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

// StartForTest starts a fleet whose logs are in Spec.Dir, or else in a directory that ends with the test.
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
