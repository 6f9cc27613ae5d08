package command

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against example files that fail validation.
func TestCheckExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example files: %v", err)
	}
	env, _ := testEnv(t)
	for _, file := range files {
		if err := (&CheckCmd{Path: file}).Run(env); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// Guards against an invalid file passing the check: settings must be recognised
// by their fields and validated as settings, all other files as a catalogue.
func TestCheckDistinguishesSettingsFromCatalogue(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"settings.jsonc":  `{"host_id": "h1", "listeners": {"caller": {"address": "nowhere"}}}`,
		"catalogue.jsonc": `{"entries": {"desk": {"owner": "nobody", "class": "batch"}}}`,
		"broken.jsonc":    `{"host_id"`,
	} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		env, _ := testEnv(t)
		if err := (&CheckCmd{Path: path}).Run(env); ExitCode(err) != ExitUsage {
			t.Errorf("%s: error = %v, exit code %d", name, err, ExitCode(err))
		}
	}
}
