package sched

import (
	"time"

	"gooseberrypond/core/structs"
)

// node is the scheduler's copy of one worker. It already includes the
// decisions of the current plan.
type node struct {
	worker *structs.Worker
	domain int32
	rack   int32
	// used is the capacity reserved by attempts in the tables and in the current plan.
	used structs.Resources
	// reserved is the free capacity reserved for pending tasks, for example after
	// evictions on their behalf.
	reserved structs.Resources
	entries  []entryCount
	// tasks are the attempts on the worker as of the last refresh.
	tasks []nodeTask
	// blocked is the reason why the worker takes no new task; empty if it does.
	blocked string
	// countedCapacity is the node's contribution to Scheduler.total.
	countedCapacity structs.Resources
	// dirty is set while a refresh from the tables is pending.
	dirty bool
	// starts is a ring buffer of the last start times, used for pacing.
	starts     [structs.DomainReturnStartsPerSecond]time.Time
	nextStart  int
	contention contention
	// bucket and pos are the positions in the two indexes (see freeIndex.slot);
	// pos is -1 when the node is in no bucket.
	bucket [2]int
	pos    [2]int
}

// nodeTask is one attempt on a node. Records are compared by pointer to detect
// changes, because looking up the job of every task took most of a tick.
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
	return n.worker.Capacity.Sub(n.used).Sub(n.reserved)
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

// interner maps names to dense integer ids.
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
