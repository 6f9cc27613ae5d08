package catalog

import (
	"encoding/json"
	"fmt"
	"reflect"

	"gooseberrypond/core/structs"
)

// Action is the kind of change that a difference makes to an owner or entry.
type Action string

// Actions of a difference.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// Difference is one owner or entry that differs between two catalogues.
type Difference struct {
	Action Action `json:"action"`
	// Kind is "owner" or "entry".
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fields lists the changed fields; empty unless Action is ActionChange.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one changed field with its old and new value as JSON.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Diff lists the changes from one catalogue to another: owners first, then
// entries, each sorted by name.
func Diff(from, to *structs.Catalogue) []Difference {
	out := diffMaps("owner", from.Owners, to.Owners)
	return append(out, diffMaps("entry", from.Entries, to.Entries)...)
}

func diffMaps[V any](kind string, from, to map[string]V) []Difference {
	all := make(map[string]bool, len(from)+len(to))
	for name := range from {
		all[name] = true
	}
	for name := range to {
		all[name] = true
	}
	var out []Difference
	for _, name := range sortedKeys(all) {
		a, inFrom := from[name]
		b, inTo := to[name]
		switch {
		case !inFrom:
			out = append(out, Difference{Action: ActionAdd, Kind: kind, Name: name})
		case !inTo:
			out = append(out, Difference{Action: ActionRemove, Kind: kind, Name: name})
		default:
			if fields := diffFields(a, b); len(fields) > 0 {
				out = append(out, Difference{Action: ActionChange, Kind: kind, Name: name, Fields: fields})
			}
		}
	}
	return out
}

// diffFields compares two structs of the same type field by field.
func diffFields(a, b any) []FieldChange {
	va := reflect.ValueOf(a)
	vb := reflect.ValueOf(b)
	var out []FieldChange
	for i := range va.NumField() {
		from := formatValue(va.Field(i).Interface())
		to := formatValue(vb.Field(i).Interface())
		if from == to {
			continue
		}
		name := va.Type().Field(i).Tag.Get("json")
		out = append(out, FieldChange{Field: fieldName(name), From: from, To: to})
	}
	return out
}

// fieldName returns the name in a json struct tag, without its options.
func fieldName(tag string) string {
	for i, c := range tag {
		if c == ',' {
			return tag[:i]
		}
	}
	return tag
}

// formatValue formats a field as JSON. A nil and an empty list give the same
// text, so that they do not count as a difference.
func formatValue(v any) string {
	rv := reflect.ValueOf(v)
	if rv.Kind() == reflect.Slice && rv.Len() == 0 {
		return "[]"
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
