// Package wal implements the write-ahead log of a replica, which stores its log
// entries and hard state in segment files.
//
// A segment starts with a header that contains the format version. Its first
// frame holds the complete log and hard state at that time; each later frame
// holds the changes of one Save. A segment gets its final name only once its
// first frame is synced, so the newest segment is sufficient for recovery. Each
// frame has a CRC-32C over its magic, length, sequence number and payload.
//
// Save syncs before it returns. After a failed write or sync the content of the
// file is unknown, so all further operations fail. Open copies the recovered
// state to a new segment and does not append to the old one: after a failed
// sync, the data on disk may differ from that in the page cache.
//
// A full disk is the exception, as it may get space again. A frame that was cut
// short is removed from the file, and the operation can be repeated. If the frame
// cannot be removed, or its sync has failed, Save keeps failing with ErrFull until
// Rewrite has moved the log to a new segment.
package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"gooseberrypond/core/codec"
	"gooseberrypond/store/consensus"
	"gooseberrypond/store/disk"
)

// Errors that mark the failures of a log.
var (
	// ErrFailed means that the log must no longer be used.
	ErrFailed = errors.New("log has failed")
	// ErrFull means that nothing was saved, for lack of disk space. What was saved
	// before is intact, and the operation may be repeated.
	ErrFull = errors.New("no space for the log")
)

const suffix = ".wal"

// Contents is the complete content of a log.
type Contents struct {
	State   consensus.HardState
	Base    consensus.Position
	Entries []consensus.Entry
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fs   disk.FS
	dir  string
	file disk.File
	path string
	// segment is the number of the latest segment, seq that of the last frame.
	segment, seq uint64
	size         int64
	buf          []byte
	failed       error
	// mustRewrite is set after an incomplete frame that could not be removed. The
	// segment is still valid up to that frame, but must not be appended to.
	mustRewrite bool
	// dirSyncDue is set while the name of the current segment may not be durable.
	dirSyncDue bool
	// torn is the size in bytes of the incomplete last frame that Open dropped.
	torn int
}

// Exists reports whether the directory holds a log.
func Exists(fs disk.FS, dir string) (bool, error) {
	names, err := segments(fs, dir)
	return len(names) > 0, err
}

// Create creates a log with the contents in a directory that holds none.
func Create(fs disk.FS, dir string, c Contents) (*Log, error) {
	l := &Log{fs: fs, dir: dir}
	if err := l.Rewrite(c); err != nil {
		l.closeFile()
		return nil, err
	}
	return l, nil
}

// Open recovers the log in a directory. An incomplete last frame is dropped, as
// its Save cannot have returned successfully. If anything else is damaged, Open
// returns an error that names the file and the offset.
func Open(fs disk.FS, dir string) (*Log, Contents, error) {
	names, err := segments(fs, dir)
	if err != nil {
		return nil, Contents{}, errors.Wrapf(err, "list %s", dir)
	}
	if len(names) == 0 {
		return nil, Contents{}, errors.Newf("%s: no log segment", dir)
	}
	l := &Log{fs: fs, dir: dir}
	name := names[len(names)-1]
	if _, err := fmt.Sscanf(name, "%d"+suffix, &l.segment); err != nil {
		return nil, Contents{}, errors.Wrapf(err, "segment name %s", name)
	}
	c, err := l.replay(filepath.Join(dir, name))
	if err != nil {
		return nil, Contents{}, err
	}
	if err := l.Rewrite(c); err != nil {
		l.closeFile()
		return nil, Contents{}, err
	}
	return l, c, nil
}

func segments(fs disk.FS, dir string) ([]string, error) {
	names, err := fs.List(dir)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, suffix) }), nil
}

// replay applies all frames of a segment.
func (l *Log) replay(path string) (Contents, error) {
	var c Contents
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return c, errors.Wrapf(err, "read %s", path)
	}
	if err := checkHeader(path, data); err != nil {
		return c, err
	}
	first := true
	for at := headerSize; at < len(data) || first; first = false {
		seq, payload, ok := readFrame(data[at:])
		if !ok {
			if err := checkTornTail(path, data, at, l.seq+1, first); err != nil {
				return c, err
			}
			l.torn = len(data) - at
			return c, nil
		}
		if !first && seq != l.seq+1 {
			return c, errors.Newf("%s: offset %d: frame has sequence number %d, want %d", path, at, seq, l.seq+1)
		}
		l.seq = seq
		if err := c.apply(payload, first); err != nil {
			return c, errors.Wrapf(err, "%s: offset %d", path, at)
		}
		at += frameHeader + len(payload)
	}
	return c, nil
}

// checkTornTail returns an error unless the damaged frame at the offset can be the
// last one, whose write was interrupted by a crash.
func checkTornTail(path string, data []byte, at int, minSeq uint64, first bool) error {
	if first {
		// The first frame is synced before the segment gets its final name.
		return errors.Newf("%s: offset %d: first frame is damaged", path, at)
	}
	if i := findFrame(data[at:], minSeq); i >= 0 {
		return errors.Newf("%s: offset %d: frame is damaged but a valid one follows at offset %d",
			path, at, at+i)
	}
	return nil
}

// apply applies the payload of a frame to the contents.
func (c *Contents) apply(payload []byte, first bool) error {
	var b batch
	if err := codec.Unmarshal(payload, &b); err != nil {
		return errors.Wrap(err, "decode log frame")
	}
	if first != (b.Base != nil) {
		return errors.New("the first frame of a segment, and no other, must hold the complete state")
	}
	if first {
		c.Base = *b.Base
	}
	if b.State != nil {
		c.State = *b.State
	}
	if len(b.Entries) == 0 {
		return nil
	}
	from := b.Entries[0].Index
	if from <= c.Base.Index || from > c.Base.Index+uint64(len(c.Entries))+1 {
		return errors.Newf("entry %d is not contiguous with the log, whose base is %d and last entry %d",
			from, c.Base.Index, c.Base.Index+uint64(len(c.Entries)))
	}
	c.Entries = append(c.Entries[:from-c.Base.Index-1], b.Entries...)
	return nil
}

// Save appends the state, if not nil, and the entries to the log and syncs it.
// The entries replace all existing ones from the index of the first one on.
func (l *Log) Save(state *consensus.HardState, entries []consensus.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	if l.mustRewrite {
		return errors.Mark(errors.Newf("%s ends with an incomplete frame", l.path), ErrFull)
	}
	if err := l.syncDir(); err != nil {
		return err
	}
	buf, err := appendFrame(l.buf[:0], l.seq+1, &batch{State: state, Entries: entries})
	if err != nil {
		return l.fail(err, "encode")
	}
	l.buf = buf
	if _, err := l.file.Write(buf); err != nil {
		return l.dropFrame(err)
	}
	if err := l.file.Sync(); err != nil {
		l.mustRewrite = true
		return l.fail(err, "sync")
	}
	l.seq++
	l.size += int64(len(buf))
	return nil
}

// dropFrame removes a frame whose write failed because the disk is full.
func (l *Log) dropFrame(cause error) error {
	if disk.IsFull(cause) {
		err := l.file.Truncate(l.size)
		l.mustRewrite = err != nil
		cause = errors.WithSecondaryError(cause, err)
	}
	return l.fail(cause, "write")
}

// MustRewrite reports whether Rewrite has to be called before the next Save.
func (l *Log) MustRewrite() bool { return l.mustRewrite }

// Size returns the size of the current segment in bytes.
func (l *Log) Size() int64 { return l.size }

// TornBytes returns the size of the incomplete last frame that Open dropped, or
// 0 if there was none.
func (l *Log) TornBytes() int { return l.torn }

// fail returns the error of a step. Unless the disk is full, the log must no longer
// be used.
func (l *Log) fail(err error, step string) error {
	err = errors.Wrapf(err, "%s %s", step, l.path)
	if disk.IsFull(err) {
		return errors.Mark(err, ErrFull)
	}
	l.failed = errors.Mark(err, ErrFailed)
	return l.failed
}

// Rewrite writes the contents to a new segment, which replaces the whole log, and
// removes the older segments.
func (l *Log) Rewrite(c Contents) error {
	if l.failed != nil {
		return l.failed
	}
	p := l.Prepare(c)
	if err := p.Write(); err != nil {
		return l.fail(err, "start")
	}
	return l.activate(p, p.seq)
}

// syncDir makes the name of the current segment durable and then removes the older
// segments. Until that has succeeded, a restart may find either segment, so nothing
// may be saved to the new one.
func (l *Log) syncDir() error {
	if !l.dirSyncDue {
		return nil
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail(err, "sync directory of")
	}
	l.dirSyncDue = false
	return l.removeOlder()
}

func (l *Log) removeOlder() error {
	names, err := segments(l.fs, l.dir)
	if err != nil {
		return l.fail(err, "list segments before")
	}
	for _, name := range names {
		path := filepath.Join(l.dir, name)
		if path >= l.path {
			continue
		}
		if err := l.fs.Remove(path); err != nil {
			return l.fail(err, "remove segment before")
		}
	}
	return nil
}

// Close closes the log. All later operations fail with ErrFailed.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = errors.Mark(errors.New("log is closed"), ErrFailed)
	}
	return l.closeFile()
}

func (l *Log) closeFile() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
