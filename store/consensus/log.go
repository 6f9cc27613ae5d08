package consensus

import "github.com/cockroachdb/errors"

// raftLog holds the log entries after base in memory.
type raftLog struct {
	base    Position
	entries []Entry
}

func (l *raftLog) last() Position {
	if n := len(l.entries); n > 0 {
		return Position{l.entries[n-1].Index, l.entries[n-1].Term}
	}
	return l.base
}

// term returns the term of the entry at index; ok is false if the entry is not held.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.last().Index {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// entriesBetween returns the entries from lo to hi, both included, limited to
// maxBytes but at least one. It returns nil if the entry at lo is not in the log.
func (l *raftLog) entriesBetween(lo, hi uint64, maxBytes int) []Entry {
	hi = min(hi, l.last().Index)
	if lo > hi || lo <= l.base.Index {
		return nil
	}
	es := l.entries[lo-l.base.Index-1 : hi-l.base.Index]
	size := 0
	for i := range es {
		size += len(es[i].Data) + entryOverhead
		if size > maxBytes && i > 0 {
			es = es[:i]
			break
		}
	}
	return es[:len(es):len(es)]
}

// entryOverhead is the assumed size of an entry without its data, in bytes.
const entryOverhead = 32

// truncateFrom removes the entries at and after index. The capacity of the
// remaining slice is clipped so that later appends cannot overwrite entries that
// were already returned to the caller.
func (l *raftLog) truncateFrom(index uint64) {
	n := index - l.base.Index - 1
	l.entries = l.entries[:n:n]
}

// compact removes the entries up to and including index.
func (l *raftLog) compact(index uint64) error {
	term, ok := l.term(index)
	if !ok {
		return errors.Newf("compact to index %d: outside the log, whose base is %d and last entry %d", index, l.base.Index, l.last().Index)
	}
	rest := l.entries[index-l.base.Index:]
	l.entries = append([]Entry(nil), rest...)
	l.base = Position{index, term}
	return nil
}

// upToDate reports whether a log that ends at other is at least as up to date as
// this one, which is Raft's condition for granting a vote. Such a log contains all
// entries of this log that may be committed, so a new leader lacks no committed
// entry.
func (l *raftLog) upToDate(other Position) bool {
	last := l.last()
	return other.Term > last.Term || other.Term == last.Term && other.Index >= last.Index
}
