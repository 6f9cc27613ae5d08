package config

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"gooseberrypond/core/catalog"
)

var update = flag.Bool("update", false, "write the golden files")

// Guards against problems that lack the file, line, field, value or allowed
// values, and against a check that stops at the first problem.
func TestProblemsGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("no test data: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			_, err = Parse(filepath.Base(file), data)
			if err == nil {
				t.Fatal("invalid settings are accepted")
			}
			got := err.Error() + "\n"
			golden := file + ".golden"
			if *update {
				if err := os.WriteFile(golden, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("problems:\n%swant:\n%s", got, want)
			}
		})
	}
}

// Guards against example settings and catalogues that are invalid, and against
// host lists that differ between the hosts of a cluster.
func TestExamples(t *testing.T) {
	for folder, hosts := range map[string]int{"siam-restful": 8, "pneumatica-aberta": 6} {
		t.Run(folder, func(t *testing.T) {
			base := filepath.Join("../../examples", folder)
			data, err := os.ReadFile(filepath.Join(base, "catalogue.jsonc"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := catalog.Parse("catalogue.jsonc", data); err != nil {
				t.Error(err)
			}
			files, err := filepath.Glob(filepath.Join(base, "*-*.jsonc"))
			if err != nil || len(files) != hosts {
				t.Fatalf("%d settings files, want %d (%v)", len(files), hosts, err)
			}
			var first []Host
			for _, f := range files {
				s, err := Load(f)
				if err != nil {
					t.Error(err)
					continue
				}
				if first == nil {
					first = s.Hosts
				}
				for i, h := range s.Hosts {
					if i >= len(first) || h.ID != first[i].ID || h.Peer != first[i].Peer || h.Control != first[i].Control || h.Replica != first[i].Replica {
						t.Errorf("%s: hosts[%d] differs from the other files", f, i)
					}
				}
			}
		})
	}
}
