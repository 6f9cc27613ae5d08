package replica

import (
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/disk"
)

// discardedName is the name that the identity file has while a folder is emptied.
const discardedName = "replica.discarded"

// Discard empties the data folder of a replica that is closed and was removed from its
// group, so that the host can join under a new id. If Discard is interrupted, the next
// Open completes it. It needs no free space.
func Discard(fs disk.FS, dir string) error {
	if err := fs.Rename(filepath.Join(dir, identityName), filepath.Join(dir, discardedName)); err != nil {
		return errors.Wrap(err, "discard identity file")
	}
	return completeDiscard(fs, dir)
}

// completeDiscard empties a folder that Discard has begun to empty. The renamed identity
// file goes last, after all other removals are durable: a folder without it is either
// whole or empty.
func completeDiscard(fs disk.FS, dir string) error {
	names, err := fs.List(dir)
	if err != nil {
		return errors.Wrap(err, "list data folder")
	}
	if !slices.Contains(names, discardedName) {
		return nil
	}
	if err := syncDataFolder(fs, dir); err != nil {
		return err
	}
	for _, name := range names {
		if name == discardedName || name == lockName {
			continue // the caller may hold the lock
		}
		if err := fs.Remove(filepath.Join(dir, name)); err != nil {
			return errors.Wrapf(err, "empty data folder: %s", name)
		}
	}
	if err := syncDataFolder(fs, dir); err != nil {
		return err
	}
	if err := fs.Remove(filepath.Join(dir, discardedName)); err != nil {
		return errors.Wrap(err, "empty data folder")
	}
	return syncDataFolder(fs, dir)
}

func syncDataFolder(fs disk.FS, dir string) error {
	return errors.Wrap(fs.SyncDir(dir), "sync data folder")
}
