// Package docs checks that the tables in docs/ match the code that they describe.
package docs

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/settings"
)

// checkPart compares the part of a page between its markers with the wanted text.
// If UPDATE_GOLDEN is set, it updates the page instead.
func checkPart(t *testing.T, page, part, want string) {
	t.Helper()
	file := "../../docs/" + page
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	begin, end := "<!-- begin "+part+" -->\n", "<!-- end "+part+" -->"
	before, rest, ok := strings.Cut(string(data), begin)
	got, after, ok2 := strings.Cut(rest, end)
	if !ok || !ok2 {
		t.Fatalf("%s has no markers for part %q", page, part)
	}
	if got == want {
		return
	}
	if os.Getenv("UPDATE_GOLDEN") == "" {
		t.Fatalf("%s: part %q is out of date; run make docs", page, part)
	}
	if err := os.WriteFile(file, []byte(before+begin+want+end+after), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestResultCodes(t *testing.T) {
	var b strings.Builder
	b.WriteString("\n| code | name | HTTP status | run? | what it means |\n|---|---|---|---|---|\n")
	for _, c := range result.All() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", c.Number, c.Name, c.Status, c.Ran, c.Meaning)
	}
	b.WriteString("\n")
	checkPart(t, "RESULT-CODES.md", "codes", b.String())
}

func TestResultCodesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for _, c := range result.All() {
		for _, key := range []string{fmt.Sprint(c.Number), c.Name} {
			if seen[key] {
				t.Errorf("result code %s is not unique", key)
			}
			seen[key] = true
		}
	}
}

func TestEvents(t *testing.T) {
	var b strings.Builder
	b.WriteString("\n| event | level | message | what it means |\n|---|---|---|---|\n")
	seen := make(map[int]bool)
	for _, e := range event.All() {
		if seen[e.Number] {
			t.Errorf("event number %d is not unique", e.Number)
		}
		seen[e.Number] = true
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, strings.ToLower(e.Level.String()), e.Message, e.Meaning)
	}
	b.WriteString("\n")
	checkPart(t, "EVENTS.md", "events", b.String())
}

func TestConfiguration(t *testing.T) {
	checkPart(t, "CONFIGURATION.md", "settings", fieldTable(reflect.TypeOf(settings.Settings{})))
	checkPart(t, "CONFIGURATION.md", "declaration", fieldTable(reflect.TypeOf(fleet.Declaration{})))
}

var descriptionTag = regexp.MustCompile(`description=(.*)$`)

func fieldTable(t reflect.Type) string {
	var b strings.Builder
	b.WriteString("\n| field | holds | what it says |\n|---|---|---|\n")
	writeFields(&b, "", t)
	b.WriteString("\n")
	return b.String()
}

func writeFields(b *strings.Builder, path string, t reflect.Type) {
	for field := range t.Fields() {
		name := path + field.Tag.Get("yaml")
		text := ""
		if found := descriptionTag.FindStringSubmatch(field.Tag.Get("jsonschema")); found != nil {
			text = found[1]
		}
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", name, kind(field.Type), text)
		switch {
		case field.Type.Kind() == reflect.Struct:
			writeFields(b, name+".", field.Type)
		case field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
			writeFields(b, name+"[].", field.Type.Elem())
		}
	}
}

func kind(t reflect.Type) string {
	switch {
	case t.String() == "time.Duration":
		return "duration such as 1500ms"
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return "list"
	case t.Kind() == reflect.Slice:
		return "list of texts"
	case t.Kind() == reflect.Map:
		return "text by name"
	case t.Kind() == reflect.Struct:
		return "fields"
	case t.Kind() == reflect.String:
		return "text"
	default:
		return "number"
	}
}
