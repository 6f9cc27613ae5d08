package catalog

import (
	"errors"
	"strings"
	"testing"

	"gooseberrypond/core/document"
	"gooseberrypond/core/structs"
)

const token = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

const validDoc = `{
  // The booking desk and its plans.
  "owners": {
    "siam": {
      "token_sha256": ["` + token + `"],
      "quota": {"cpu": "64", "memory": "256GiB"},
      "merged_from": ["nakhon"],
    },
  },
  "entries": {
    "desk": {"owner": "siam", "class": "latency-critical", "request_timeout": "2s"},
    "plans": {"owner": "siam", "class": "batch", "resources": {"cpu": "500m", "memory": "512MiB"}},
  },
}`

// Guards against misread units: a number of cores or a size that is wrong by the
// factor of a unit overcommits hosts.
func TestParseUnits(t *testing.T) {
	c, err := Parse("c.jsonc", []byte(validDoc))
	if err != nil {
		t.Fatal(err)
	}
	want := structs.Resources{CPUMilli: 500, MemoryMB: 512}
	if got := c.Entries["plans"].Resources; got != want {
		t.Errorf("resources = %v, want %v", got, want)
	}
	if got := c.Owners["siam"].Quota; got != (structs.Resources{CPUMilli: 64_000, MemoryMB: 256 << 10}) {
		t.Errorf("quota = %v, want 64 cores and 256 GiB", got)
	}
	if got := c.Entries["desk"].RequestTimeoutMS; got != 2000 {
		t.Errorf("timeout = %d ms, want 2000 ms", got)
	}
}

// Guards against accepting an invalid document, and against problems without the
// line, the field and the allowed values.
func TestParseRefusesInvalidDocument(t *testing.T) {
	tests := []struct {
		name, old, new string
		line           int
		field          string
	}{
		{"unknown field", `"request_timeout"`, `"request_timeuot"`, 11, "entries.desk.request_timeuot"},
		{"wrong class", `"latency-critical"`, `"fast"`, 11, "entries.desk.class"},
		{"unknown owner", `"owner": "siam", "class": "batch"`, `"owner": "nobody", "class": "batch"`, 12, "entries.plans.owner"},
		{"missing unit", `"2s"`, `2`, 11, "entries.desk.request_timeout"},
		{"negative cores", `"500m"`, `"-1"`, 12, "entries.plans.resources.cpu"},
		{"too long", `"2s"`, `"2h"`, 11, "entries.desk.request_timeout"},
		{"short digest", token, "abc", 5, "owners.siam.token_sha256[0]"},
		{"merge of a listed owner", `"nakhon"`, `"siam"`, 7, "owners.siam.merged_from[0]"},
		{"duplicate entry", `"plans":`, `"desk":`, 12, "entries.desk"},
		{"overflowing size", `"512MiB"`, `"9999999999999TiB"`, 12, "entries.plans.resources.memory"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			doc := strings.Replace(validDoc, tt.old, tt.new, 1)
			_, err := Parse("c.jsonc", []byte(doc))
			var problems document.Problems
			if !errors.As(err, &problems) {
				t.Fatalf("error = %v, want document.Problems", err)
			}
			p := problems[0]
			if p.Line != tt.line || p.Field != tt.field || p.Allowed == "" {
				t.Errorf("problem = %v, want line %d, field %s and the allowed values", p, tt.line, tt.field)
			}
		})
	}
}

// Guards against reporting only the first of several problems.
func TestParseListsAllProblems(t *testing.T) {
	doc := strings.NewReplacer(`"latency-critical"`, `"fast"`, `"batch"`, `"slow"`).Replace(validDoc)
	_, err := Parse("c.jsonc", []byte(doc))
	var problems document.Problems
	if !errors.As(err, &problems) || len(problems) != 2 {
		t.Fatalf("error = %v, want two problems", err)
	}
}

// Guards against syntax errors reported without the correct line.
func TestParseSyntaxErrorLine(t *testing.T) {
	_, err := Parse("c.jsonc", []byte("{\n\n  \"owners\": [}\n}"))
	var problems document.Problems
	if !errors.As(err, &problems) || problems[0].Line != 3 {
		t.Fatalf("error = %v, want a problem on line 3", err)
	}
}

// Guards against a diff that misses a change or reports one where there is none.
// The plan command shows this diff to operators before they apply a catalogue.
func TestDiff(t *testing.T) {
	a, _ := Parse("a", []byte(validDoc))
	b, _ := Parse("b", []byte(validDoc))
	if d := Diff(a, b); len(d) != 0 {
		t.Fatalf("diff of equal catalogues = %v, want none", d)
	}
	e := b.Entries["desk"]
	e.Priority = 3
	b.Entries["desk"] = e
	delete(b.Entries, "plans")
	b.Owners["new"] = structs.Owner{}
	d := Diff(a, b)
	if len(d) != 3 || d[0].Action != ActionAdd || d[1].Action != ActionChange || d[2].Action != ActionRemove {
		t.Fatalf("diff = %+v, want one addition, one change and one removal", d)
	}
	if f := d[1].Fields; len(f) != 1 || f[0] != (FieldChange{Field: "priority", From: "0", To: "3"}) {
		t.Errorf("fields = %+v, want priority from 0 to 3", f)
	}
}

// Guards against silently using one of two definitions of the same entry in
// different files.
func TestParseAllRefusesNameInTwoFiles(t *testing.T) {
	second := `{"entries": {"desk": {"owner": "siam", "class": "batch"}}}`
	_, err := ParseAll([]Source{{"a.jsonc", []byte(validDoc)}, {"b.jsonc", []byte(second)}})
	var problems document.Problems
	if !errors.As(err, &problems) || problems[0].File != "b.jsonc" || problems[0].Field != "entries.desk" {
		t.Fatalf("error = %v, want entries.desk in b.jsonc", err)
	}
}

// Guards against refusing an entry whose owner is defined in another file.
func TestParseAllOwnerInOtherFile(t *testing.T) {
	second := `{"entries": {"watch": {"owner": "siam", "class": "batch"}}}`
	c, err := ParseAll([]Source{{"b.jsonc", []byte(second)}, {"a.jsonc", []byte(validDoc)}})
	if err != nil || len(c.Entries) != 3 {
		t.Fatalf("catalogue = %v, error = %v, want three entries", c, err)
	}
}
