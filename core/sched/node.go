package sched

import (
	"time"

	"gooseberrypond/core/structs"
)

// node is the scheduler's copy of one worker, with the parts of the current
// plan already counted.
type node struct {
	worker *structs.Worker
	domain int32
	rack   int32
	// used counts the attempts in the tables and those of the current plan.
	used structs.Resources
	// held is room kept for tasks that an eviction on this worker makes room for.
	held    structs.Resources
	entries []entryCount
	// tasks are the attempts on the worker when it was last copied.
	tasks []nodeTask
	// blocked says why the worker takes no new task; empty means it does.
	blocked string
	// counted is the capacity that the scheduler's total includes for the node.
	counted structs.Resources
	// dirty is set while the node waits to be copied from the tables again.
	dirty bool
	// starts are the times of the last starts, a ring for pacing.
	starts    [structs.DomainReturnStartsPerSecond]time.Time
	nextStart int
	pressure  pressure
	// index positions; pos is -1 when the node is in no bucket.
	bucket [2]int
	pos    [2]int
}

// nodeTask is one attempt on a node. The record is compared by identity to see
// what has changed, since looking up every task's job took most of a tick.
type nodeTask struct {
	record *structs.Task
	entry  int32
	// deadline is set when the task's job has a deadline.
	deadline bool
}

// entryCount is the number of tasks of one catalogue entry on a node.
type entryCount struct {
	entry int32
	n     int32
}

func (n *node) free() structs.Resources {
	return n.worker.Capacity.Sub(n.used).Sub(n.held)
}

func (n *node) addEntry(entry int32, delta int32) {
	for i := range n.entries {
		if n.entries[i].entry == entry {
			n.entries[i].n += delta
			return
		}
	}
	n.entries = append(n.entries, entryCount{entry, delta})
}

// interner maps names to small dense numbers.
type interner struct {
	ids   map[string]int32
	names []string
}

func newInterner() interner {
	return interner{ids: map[string]int32{}}
}

func (in *interner) id(name string) int32 {
	if id, ok := in.ids[name]; ok {
		return id
	}
	id := int32(len(in.names))
	in.ids[name] = id
	in.names = append(in.names, name)
	return id
}
