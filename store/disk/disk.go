// Package disk provides the file access of the log and the snapshots. Its
// interfaces are small, so that tests can inject failures.
package disk

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// File is a file open for appending.
type File interface {
	io.WriteCloser
	// Sync returns once all written data is on stable storage. After an error the
	// content of the file is undefined, and the file must not be written again.
	Sync() error
	// Truncate sets the length of the file; the next Write appends at the new end.
	Truncate(size int64) error
}

// IsFull reports whether err was caused by a lack of space. The same operation may
// succeed once there is space again.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// FS gives access to files by path.
type FS interface {
	MkdirAll(dir string) error
	// Create creates a file, or truncates an existing one.
	Create(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// ReadAt fills p with the data at the offset. It returns io.EOF if the file
	// ends before p is full.
	ReadAt(path string, p []byte, offset int64) (int, error)
	// List returns the names in a directory, sorted.
	List(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes creations, renames and removals in a directory durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock, which is released by Close or when the process
	// exits. It fails at once if the lock is held.
	Lock(path string) (io.Closer, error)
}

// OS is the operating system's file system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o750) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

type osFile struct{ *os.File }

// Truncate implements File.
func (f osFile) Truncate(size int64) error {
	if err := f.File.Truncate(size); err != nil {
		return err
	}
	_, err := f.Seek(size, io.SeekStart)
	return err
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadAt implements FS.
func (OS) ReadAt(path string, p []byte, offset int64) (int, error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	return f.ReadAt(p, offset)
}

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock implements FS.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, errors.Wrapf(err, "%s is locked by another process", path)
	}
	return f, nil
}

// WriteFile atomically replaces the content of a file with the concatenated
// parts: after a crash the file has either the old or the complete new content.
func WriteFile(fs FS, path string, parts ...[]byte) error {
	f, err := CreateTemp(fs, path, parts...)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return errors.Wrapf(err, "close %s", path)
	}
	if err := fs.Rename(path+TempSuffix, path); err != nil {
		return errors.WithSecondaryError(errors.Wrapf(err, "rename %s", path), fs.Remove(path+TempSuffix))
	}
	return errors.Wrapf(fs.SyncDir(filepath.Dir(path)), "sync directory of %s", path)
}

// TempSuffix is the suffix of the names of incomplete files.
const TempSuffix = ".tmp"

// CreateTemp writes the parts to the temporary file of path and syncs it. The
// returned file is open. After an error the temporary file is removed, since it
// may hold the last free space of the disk.
func CreateTemp(fs FS, path string, parts ...[]byte) (File, error) {
	f, err := fs.Create(path + TempSuffix)
	if err != nil {
		return nil, errors.Wrapf(err, "create %s", path+TempSuffix)
	}
	if err := writeAndSync(f, parts); err != nil {
		f.Close()
		err = errors.Wrapf(err, "write %s", path+TempSuffix)
		return nil, errors.WithSecondaryError(err, fs.Remove(path+TempSuffix))
	}
	return f, nil
}

func writeAndSync(f File, parts [][]byte) error {
	for _, p := range parts {
		if _, err := f.Write(p); err != nil {
			return err
		}
	}
	return errors.Wrap(f.Sync(), "sync")
}

// RemoveTemp removes the temporary files from a directory.
func RemoveTemp(fs FS, dir string) error {
	names, err := fs.List(dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if filepath.Ext(name) == TempSuffix {
			if err := fs.Remove(filepath.Join(dir, name)); err != nil {
				return err
			}
		}
	}
	return nil
}
