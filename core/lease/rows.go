package lease

import (
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// Row is the lease state of one worker for debug output.
type Row struct {
	Worker      structs.WorkerID `json:"worker"`
	Incarnation uint64           `json:"incarnation"`
	// Synced is set once the worker has synced with this leader.
	Synced bool   `json:"synced"`
	Seq    uint64 `json:"seq"`
	// AgeMS is the time since the last renewal of the lease, in milliseconds.
	AgeMS    int64  `json:"age_ms"`
	Running  int    `json:"running"`
	AckedSeq uint64 `json:"acked_seq"`
	// Ending is set while a proposal to end attempts after the lease expired is
	// not yet applied.
	Ending bool `json:"ending"`
}

// Rows returns the lease state of every worker that has a record, sorted by id.
func (l *Table) Rows(now time.Time, t *state.Tables) []Row {
	var out []Row
	for _, w := range t.Workers() {
		r := l.records[w.ID]
		if r == nil {
			continue
		}
		out = append(out, Row{
			Worker: w.ID, Incarnation: r.incarnation, Synced: r.synced, Seq: r.seq,
			AgeMS: now.Sub(r.renewed).Milliseconds(), Running: len(r.running),
			AckedSeq: r.acked, Ending: r.ending != nil,
		})
	}
	return out
}
