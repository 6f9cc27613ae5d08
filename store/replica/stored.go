package replica

import (
	"encoding/json"
	"io/fs"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/disk"
)

// StoredID returns the id of the replica that owns a data folder; found is false
// if the folder was never used.
func StoredID(dir string) (id string, found bool, err error) {
	path := filepath.Join(dir, identityName)
	data, err := disk.OS{}.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return "", false, nil
	}
	if err != nil {
		return "", false, errors.Wrap(err, "read identity file")
	}
	var f identity
	if err := json.Unmarshal(data, &f); err != nil {
		return "", false, errors.Wrapf(err, "decode identity file %s", path)
	}
	return f.ReplicaID, true, nil
}
