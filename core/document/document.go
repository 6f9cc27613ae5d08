// Package document decodes JSON with comments and trailing commas into structs,
// and rejects unknown and duplicate fields. It reports all problems of a document
// at once, each with file, line, field, value and the allowed values, so that an
// operator can correct them in one pass.
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
	// Value is the value as written in the document, cut if it is long.
	Value string `json:"value,omitempty"`
	// Allowed describes the values that are accepted.
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

// Problems is a list of problems, ordered by line within each document.
type Problems []Problem

// Error implements error. The text has one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded file. It records the line and the written value of each
// field, so that later checks can report them.
type Document struct {
	file     string
	lines    map[string]int
	values   map[string]string
	problems Problems
}

// Decode decodes data, the content of file, into dst, a pointer to a struct.
// Unknown and duplicate fields are problems. The caller can add problems of its
// own with Check and AddProblem; Err returns all of them.
func Decode(file string, data []byte, dst any) *Document {
	d := &Document{file: file, lines: map[string]int{}, values: map[string]string{}}
	root, err := hujson.Parse(data)
	if err != nil {
		d.addSyntaxError(data, err)
		return d
	}
	r := reader{doc: d, data: data}
	r.readInto(root, dst)
	return d
}

// AddProblem records that the value of field is not allowed. If the field is
// absent, the problem gets the line of the nearest enclosing object.
func (d *Document) AddProblem(field, allowed string) {
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    d.lineOf(field),
		Field:   field,
		Value:   d.values[field],
		Allowed: allowed,
	})
}

// Check records a problem with field if ok is false.
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

// Err returns all problems as Problems, or nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return d.Problems()
}

func (d *Document) lineOf(field string) int {
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

func (d *Document) addSyntaxError(data []byte, err error) {
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
