package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = "../.."

var (
	// namedTest matches the name of a test on a page.
	namedTest = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	// declaredTest matches the declaration of a test in a test file.
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
)

// TestPagesNameTestsThatExist guards against pages that refer to renamed or removed tests.
func TestPagesNameTestsThatExist(t *testing.T) {
	declared := make(map[string]bool)
	eachFile(t, root, "_test.go", func(_, text string) {
		for _, found := range declaredTest.FindAllStringSubmatch(text, -1) {
			declared[found[1]] = true
		}
	})
	named := 0
	eachFile(t, filepath.Join(root, "docs"), ".md", func(page, text string) {
		for _, name := range namedTest.FindAllString(text, -1) {
			named++
			if !declared[name] {
				t.Errorf("%s names %s, which does not exist", page, name)
			}
		}
	})
	if named == 0 {
		t.Fatal("no page names a test, so nothing was checked")
	}
}

// TestEachPromiseNamesItsTest guards against rows of the tables of PROOFS.md that name no test.
func TestEachPromiseNamesItsTest(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "PROOFS.md"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(page)) {
		isRow := strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| promise ")
		if isRow && !namedTest.MatchString(line) {
			t.Errorf("PROOFS.md: row names no test: %s", line)
		}
	}
}

// eachFile calls take with the name and the text of each file below the folder whose name has the ending.
func eachFile(t *testing.T, dir, ending string, take func(name, text string)) {
	t.Helper()
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && entry.Name() == ".git":
			return fs.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ending):
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		take(path, string(text))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
