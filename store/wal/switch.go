package wal

import (
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/consensus"
	"gooseberrypond/store/disk"
)

// PendingSegment is a new segment that is written while the log continues to
// use the current one.
type PendingSegment struct {
	fs       disk.FS
	path     string
	segment  uint64
	seq      uint64
	contents Contents
	file     disk.File
	size     int64
}

// Prepare starts the move of the log to a new segment that begins with the
// contents. PendingSegment.Write writes the segment, and Switch completes the
// move. Only one move may be in progress.
func (l *Log) Prepare(c Contents) *PendingSegment {
	l.segment++
	return &PendingSegment{
		fs: l.fs, segment: l.segment, seq: l.seq + 1, contents: c,
		path: filepath.Join(l.dir, fmt.Sprintf("%016d%s", l.segment, suffix)),
	}
}

// Write writes and syncs the segment. It may run concurrently with the use of
// the log.
func (p *PendingSegment) Write() error {
	c := &p.contents
	buf, err := appendFrame(appendHeader(nil), p.seq, &batch{State: &c.State, Base: &c.Base, Entries: c.Entries})
	if err != nil {
		return err
	}
	p.size = int64(len(buf))
	p.file, err = disk.CreateTemp(p.fs, p.path, buf)
	return err
}

// Discard closes and removes the segment without putting it to use.
func (p *PendingSegment) Discard() error {
	if p.file == nil {
		return nil
	}
	p.file.Close()
	return errors.Wrap(p.fs.Remove(p.path+disk.TempSuffix), "remove unused segment")
}

// Switch makes a written segment the current one, after appending what changed
// since Prepare. state and entries are the current hard state and all entries of
// the log. If the log was rewritten since Prepare, the segment is outdated and is
// discarded. After ErrFull the log continues to use the current segment.
func (l *Log) Switch(p *PendingSegment, state consensus.HardState, entries []consensus.Entry) error {
	if l.failed != nil {
		return errors.WithSecondaryError(l.failed, p.Discard())
	}
	if p.segment != l.segment {
		return p.Discard()
	}
	buf, err := appendFrame(l.buf[:0], p.seq+1, &batch{State: &state, Entries: entriesAfterCommonPrefix(p.contents.Entries, entries)})
	if err != nil {
		return l.fail(err, "encode")
	}
	l.buf = buf
	if err := p.append(buf); err != nil {
		return l.fail(errors.WithSecondaryError(err, p.Discard()), "switch from")
	}
	return l.activate(p, p.seq+1)
}

// append writes and syncs another frame.
func (p *PendingSegment) append(frame []byte) error {
	if _, err := p.file.Write(frame); err != nil {
		return errors.Wrap(err, p.path)
	}
	p.size += int64(len(frame))
	return errors.Wrap(p.file.Sync(), p.path)
}

// entriesAfterCommonPrefix returns the entries of now after the common prefix
// with before. Both start at the same index.
func entriesAfterCommonPrefix(before, now []consensus.Entry) []consensus.Entry {
	i := 0
	for i < len(before) && i < len(now) && before[i].Term == now[i].Term {
		i++
	}
	return now[i:]
}

// activate makes a synced segment the current one, gives it its final name and
// removes the older segments. seq is the sequence number of its last frame.
func (l *Log) activate(p *PendingSegment, seq uint64) error {
	if err := l.fs.Rename(p.path+disk.TempSuffix, p.path); err != nil {
		return l.fail(errors.WithSecondaryError(err, p.Discard()), "replace")
	}
	l.closeFile()
	l.file, l.path, l.seq, l.size = p.file, p.path, seq, p.size
	l.mustRewrite, l.dirSyncDue = false, true
	return l.syncDir()
}
