// Package yamlfile decodes YAML files strictly and reports problems by file, line
// and field.
//
// # Usage
//
//	var v Settings
//	if err := yamlfile.Decode("tideliftd.yaml", data, &v); err != nil { ... }
//	problems := yamlfile.NewChecker("tideliftd.yaml", data)
//	problems.Add("$.services[0].floor", "is 9", "at most 3, the number of backend servers")
//	return problems.Err()
//
// Unknown fields are refused. A duration is written with its unit, such as 1500ms. Field paths
// are YAMLPath as defined by github.com/goccy/go-yaml. The package reads no files, and its only
// state is that of a Checker.
package yamlfile

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Problem describes one problem in a file.
type Problem struct {
	// File is the name of the file, as given by the caller.
	File string
	// Line counts from 1; 0 means that the line is unknown.
	Line int
	// Field is the YAML path of the field, such as $.services[0].floor.
	Field string
	// Wrong describes the problem as the end of a sentence about the field.
	Wrong string
	// Want describes valid values; it may be empty.
	Want string
}

// String returns the problem in one line.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	text := fmt.Sprintf("%s: %s %s", place, strings.TrimPrefix(p.Field, "$."), p.Wrong)
	if p.Want == "" {
		return text
	}
	return text + "; want " + p.Want
}

// Error holds all problems found in a file.
type Error struct {
	// Problems is never empty.
	Problems []Problem
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Decode decodes data into v and refuses unknown fields. Its error is an *Error with the first
// problem that the decoder found.
func Decode(file string, data []byte, v any) error {
	err := yaml.UnmarshalWithOptions(data, v, yaml.Strict())
	if err == nil {
		return nil
	}
	return &Error{Problems: []Problem{decodeProblem(file, data, err)}}
}

// decodeProblem converts the decoder's error to a Problem, with the line and field if the error has them.
func decodeProblem(file string, data []byte, err error) Problem {
	problem := Problem{File: file, Wrong: err.Error()}
	var withToken yaml.Error
	if !errors.As(err, &withToken) {
		return valueProblem(problem, data)
	}
	problem.Wrong = withToken.GetMessage()
	token := withToken.GetToken()
	if token == nil {
		return problem
	}
	problem.Line = token.Position.Line
	problem.Field = strings.TrimSpace(token.Value)
	if strings.HasPrefix(problem.Wrong, "unknown field") {
		problem.Wrong = "is not a field here"
		problem.Want = "a field that the configuration page lists"
	}
	return problem
}

var invalidDuration = regexp.MustCompile(`invalid duration "(.*)"`)

// valueProblem locates a value that its type rejected. The decoder reports only the value.
func valueProblem(problem Problem, data []byte) Problem {
	found := invalidDuration.FindStringSubmatch(problem.Wrong)
	if found == nil {
		return problem
	}
	root, err := parser.ParseBytes(data, 0)
	if err != nil {
		return problem
	}
	place := &valueFinder{value: found[1]}
	for _, doc := range root.Docs {
		ast.Walk(place, doc.Body)
	}
	if place.node == nil {
		return problem
	}
	problem.Line = place.node.GetToken().Position.Line
	problem.Field = place.node.GetPath()
	problem.Wrong = fmt.Sprintf("is %q", place.value)
	problem.Want = "a duration with its unit such as 1500ms"
	return problem
}

// valueFinder finds the first node with a value.
type valueFinder struct {
	value string
	node  ast.Node
}

// Visit implements ast.Visitor.
func (f *valueFinder) Visit(node ast.Node) ast.Visitor {
	if f.node == nil && node.Type() == ast.StringType && node.GetToken().Value == f.value {
		f.node = node
	}
	return f
}

// Checker collects the problems of one file.
type Checker struct {
	file     string
	data     []byte
	root     *ast.File // parsed on first use
	problems []Problem
}

// NewChecker returns a checker that can find the lines of fields in data.
func NewChecker(file string, data []byte) *Checker {
	return &Checker{file: file, data: data}
}

// Add records a problem with the field at the path.
func (c *Checker) Add(path, wrong, want string) {
	c.problems = append(c.problems, Problem{
		File:  c.file,
		Line:  c.line(path),
		Field: path,
		Wrong: wrong,
		Want:  want,
	})
}

// CheckAddress records a problem unless the value is an IP address with a port. The problem
// names example as a valid address.
func (c *Checker) CheckAddress(path, value, example string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Add(path, fmt.Sprintf("is %q", value), "an IP address and port such as "+example)
	}
}

// Err returns an *Error with all problems, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &Error{Problems: c.problems}
}

// line returns the line of the field, or of the nearest parent that exists.
func (c *Checker) line(path string) int {
	if c.root == nil {
		root, err := parser.ParseBytes(c.data, 0)
		if err != nil {
			return 0
		}
		c.root = root
	}
	for path != "$" && path != "" {
		if line := c.exactLine(path); line > 0 {
			return line
		}
		path = parent(path)
	}
	return 1
}

func (c *Checker) exactLine(path string) int {
	parsed, err := yaml.PathString(path)
	if err != nil {
		return 0
	}
	node, err := parsed.FilterFile(c.root)
	if err != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

func parent(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}
