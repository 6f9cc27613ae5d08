package replica

import (
	"encoding/json"
	"io/fs"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/disk"
)

// StoredID returns the id of the replica that owns a data folder; found is false
// if the folder was never used, or if Discard has begun to empty it.
func StoredID(dir string) (id string, found bool, err error) {
	names, err := disk.OS{}.List(dir)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return "", false, errors.Wrap(err, "list data folder")
	}
	if !slices.Contains(names, identityName) || slices.Contains(names, discardedName) {
		return "", false, nil
	}
	path := filepath.Join(dir, identityName)
	data, err := disk.OS{}.ReadFile(path)
	if err != nil {
		return "", false, errors.Wrap(err, "read identity file")
	}
	var f identity
	if err := json.Unmarshal(data, &f); err != nil {
		return "", false, errors.Wrapf(err, "decode identity file %s", path)
	}
	return f.ReplicaID, true, nil
}
