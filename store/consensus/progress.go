package consensus

import "time"

type peerState uint8

const (
	// stateProbe sends one append at a time to find where the logs agree.
	stateProbe peerState = iota
	// stateReplicate sends ahead of the answers.
	stateReplicate
	// stateSnapshot sends a snapshot, one chunk at a time.
	stateSnapshot
)

// progress is the leader's view of another replica.
type progress struct {
	match, next uint64
	state       peerState
	// waiting is set in stateProbe while an append is unanswered; the next
	// heartbeat clears it.
	waiting bool
	// inflight holds the last index of each unanswered append.
	inflight []uint64
	// contact is the stamp of the latest answered message; 0 if none was answered.
	contact  int64
	instance string

	snap   SnapshotMeta
	offset int64
	sentAt time.Time
}

func (p *progress) probe(next uint64) {
	p.state, p.next, p.waiting, p.inflight = stateProbe, next, false, nil
}

func (p *progress) replicate() {
	p.state, p.waiting, p.inflight = stateReplicate, false, nil
	p.next = p.match + 1
}

// acked frees the appends up to index.
func (p *progress) acked(index uint64) {
	i := 0
	for i < len(p.inflight) && p.inflight[i] <= index {
		i++
	}
	p.inflight = p.inflight[i:]
}
