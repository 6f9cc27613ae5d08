package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// The programs under test.
const (
	pondProgram = "gooseberrypond/platform/cmd/gooseberrypond"
	nodeProgram = "gooseberrypond/host/cmd/gooseberryd"
)

// programs is the folder of the built programs.
var programs string

func builtProgram(source string) string { return filepath.Join(programs, filepath.Base(source)) }

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (code int, err error) {
	if programs, err = os.MkdirTemp("", "crowd-"); err != nil {
		return 0, err
	}
	defer os.RemoveAll(programs)
	for _, source := range []string{pondProgram, nodeProgram} {
		if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", builtProgram(source), source).CombinedOutput(); err != nil {
			return 0, fmt.Errorf("build: %w\n%s", err, out)
		}
	}
	return m.Run(), nil
}

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
