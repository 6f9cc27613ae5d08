package document

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// maxShownValue is the length in bytes at which a value is cut in a Problem.
const maxShownValue = 60

// reader decodes a syntax tree into Go values and records the position of each
// field in doc.
type reader struct {
	doc  *Document
	data []byte
}

func (r *reader) readInto(root hujson.Value, dst any) {
	r.read("", root, reflect.ValueOf(dst).Elem())
}

// read decodes v, the value of the field at path, into dst.
func (r *reader) read(path string, v hujson.Value, dst reflect.Value) {
	r.recordPosition(path, v)
	if r.readText(path, v, dst) {
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		r.readStruct(path, v, dst)
	case reflect.Map:
		r.readMap(path, v, dst)
	case reflect.Slice:
		r.readSlice(path, v, dst)
	default:
		r.readScalar(path, v, dst)
	}
}

// readText decodes into types that implement encoding.TextUnmarshaler. It returns
// false for other types.
func (r *reader) readText(path string, v hujson.Value, dst reflect.Value) bool {
	tu, ok := dst.Addr().Interface().(encoding.TextUnmarshaler)
	if !ok {
		return false
	}
	lit, isLit := v.Value.(hujson.Literal)
	if !isLit || lit.Kind() != '"' {
		r.doc.AddProblem(path, "a string, "+allowedText(dst))
		return true
	}
	if err := tu.UnmarshalText([]byte(lit.String())); err != nil {
		r.doc.AddProblem(path, err.Error())
	}
	return true
}

func allowedText(dst reflect.Value) string {
	if a, ok := dst.Addr().Interface().(interface{ Allowed() string }); ok {
		return a.Allowed()
	}
	return "text"
}

func (r *reader) readStruct(path string, v hujson.Value, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		r.doc.AddProblem(path, "an object")
		return
	}
	fields := fieldsByName(dst.Type())
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		child := join(path, name)
		index, known := fields[name]
		switch {
		case !known:
			r.recordPosition(child, m.Name)
			r.doc.AddProblem(child, "one of the fields "+strings.Join(sortedNames(fields), ", "))
		case seen[name]:
			r.recordPosition(child, m.Name)
			r.doc.AddProblem(child, "each field once")
		default:
			r.read(child, m.Value, dst.Field(index))
		}
		seen[name] = true
	}
}

func (r *reader) readMap(path string, v hujson.Value, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		r.doc.AddProblem(path, "an object")
		return
	}
	dst.Set(reflect.MakeMap(dst.Type()))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		child := join(path, name)
		key := reflect.ValueOf(name).Convert(dst.Type().Key())
		if dst.MapIndex(key).IsValid() {
			r.recordPosition(child, m.Name)
			r.doc.AddProblem(child, "each name once")
			continue
		}
		elem := reflect.New(dst.Type().Elem()).Elem()
		r.read(child, m.Value, elem)
		dst.SetMapIndex(key, elem)
	}
}

func (r *reader) readSlice(path string, v hujson.Value, dst reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		r.doc.AddProblem(path, "a list")
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements))
	for i, e := range arr.Elements {
		r.read(fmt.Sprintf("%s[%d]", path, i), e, out.Index(i))
	}
	dst.Set(out)
}

func (r *reader) readScalar(path string, v hujson.Value, dst reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() == 'n' {
		r.doc.AddProblem(path, "a "+kindText(dst.Kind()))
		return
	}
	if err := json.Unmarshal(lit, dst.Addr().Interface()); err != nil {
		r.doc.AddProblem(path, "a "+kindText(dst.Kind()))
	}
}

// recordPosition records the line of the field at path, and its value as
// written if it is a literal.
func (r *reader) recordPosition(path string, v hujson.Value) {
	r.doc.lines[path] = 1 + strings.Count(string(r.data[:v.StartOffset]), "\n")
	if lit, ok := v.Value.(hujson.Literal); ok {
		r.doc.values[path] = truncate(string(lit))
	}
}

func truncate(s string) string {
	if len(s) <= maxShownValue {
		return s
	}
	return s[:maxShownValue] + "..."
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldsByName maps the JSON names of the fields of t to their indexes.
func fieldsByName(t reflect.Type) map[string]int {
	out := map[string]int{}
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag != "" && tag != "-" {
			out[tag] = i
		}
	}
	return out
}

func sortedNames(fields map[string]int) []string {
	out := make([]string, 0, len(fields))
	for name := range fields {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func kindText(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "string"
	case reflect.Float64, reflect.Float32:
		return "number"
	}
	return "whole number"
}
