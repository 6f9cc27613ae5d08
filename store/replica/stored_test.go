package replica

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a replica that is started under a new id because the id in its
// data folder is not found or cannot be read.
func TestStoredID(t *testing.T) {
	dir := t.TempDir()
	if id, found, err := StoredID(dir); id != "" || found || err != nil {
		t.Fatalf("an unused folder has id %q, found %v, error %v", id, found, err)
	}
	path := filepath.Join(dir, identityName)
	if err := os.WriteFile(path, []byte(`{"version":1,"cluster_id":"c","replica_id":"r-1","instance":"i"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if id, found, err := StoredID(dir); id != "r-1" || !found || err != nil {
		t.Fatalf("the folder has id %q, found %v, error %v, want r-1", id, found, err)
	}
	if err := os.WriteFile(path, []byte(`{"version":`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, found, err := StoredID(dir); found || err == nil {
		t.Error("a damaged identity file was accepted or treated as missing")
	}
}
