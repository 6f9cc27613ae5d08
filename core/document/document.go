// Package document reads strict JSON with comments into structs. Every problem
// is reported with file, line, field, value and what is allowed, so that an
// operator can correct all of them in one pass.
package document

import (
	"fmt"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one error in a document.
type Problem struct {
	File string `json:"file"`
	// Line is the line number, from 1; 0 means the whole document.
	Line int `json:"line"`
	// Field is the dotted path of the field.
	Field string `json:"field"`
	// Value is the value found, as written.
	Value string `json:"value,omitempty"`
	// Allowed says what would be accepted.
	Allowed string `json:"allowed"`
}

// Error implements error.
func (p Problem) Error() string {
	s := fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Field)
	if p.Value != "" {
		s += fmt.Sprintf(": found %s", p.Value)
	}
	return s + ", allowed: " + p.Allowed
}

// Problems lists the errors of one document in the order of their lines.
type Problems []Problem

// Error implements error with one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded file that remembers where each field stands.
type Document struct {
	file     string
	lines    map[string]int
	values   map[string]string
	problems Problems
}

// Decode reads data, the content of file, into dst, which points to a struct.
// Unknown and duplicate fields are problems. The returned document collects
// the caller's own checks; Err reports all problems together.
func Decode(file string, data []byte, dst any) *Document {
	d := &Document{file: file, lines: map[string]int{}, values: map[string]string{}}
	root, err := hujson.Parse(data)
	if err != nil {
		d.addSyntax(data, err)
		return d
	}
	r := reader{doc: d, data: data}
	r.readInto(root, dst)
	return d
}

// AddProblem records that the value of field is not allowed. For a field that is
// absent the line is that of its nearest enclosing object.
func (d *Document) AddProblem(field, allowed string) {
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    d.line(field),
		Field:   field,
		Value:   d.values[field],
		Allowed: allowed,
	})
}

// Check records a problem unless ok.
func (d *Document) Check(ok bool, field, allowed string) {
	if !ok {
		d.AddProblem(field, allowed)
	}
}

// Has reports whether the document contains field.
func (d *Document) Has(field string) bool {
	_, ok := d.lines[field]
	return ok
}

// Problems returns all problems in the order of their lines.
func (d *Document) Problems() Problems {
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
	return d.problems
}

// Err returns all problems as Problems, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return d.Problems()
}

func (d *Document) line(field string) int {
	for {
		if n, ok := d.lines[field]; ok {
			return n
		}
		i := strings.LastIndexByte(field, '.')
		if i < 0 {
			return 1
		}
		field = field[:i]
	}
}

func (d *Document) addSyntax(data []byte, err error) {
	line := 1
	var offset int
	msg := err.Error()
	if _, scanErr := fmt.Sscanf(msg, "hujson: line %d, column %d:", &line, &offset); scanErr == nil {
		if i := strings.Index(msg, ": "); i >= 0 {
			msg = msg[i+2:]
		}
	}
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    line,
		Field:   "(syntax)",
		Value:   msg,
		Allowed: "JSON with comments and trailing commas",
	})
}
