package consensus

import "time"

// peerState is the replication mode of a peer.
type peerState uint8

const (
	// stateProbe sends one append at a time to find where the logs agree.
	stateProbe peerState = iota
	// stateReplicate pipelines appends without waiting for replies.
	stateReplicate
	// stateSnapshot sends a snapshot, one chunk at a time.
	stateSnapshot
)

// progress is the leader's replication state for another replica.
type progress struct {
	// match is the last index known to be replicated, next the first to send.
	match, next uint64
	state       peerState
	// waiting is set in stateProbe after an append was sent. A reply or the next
	// heartbeat clears it.
	waiting bool
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// contact is the stamp of the latest answered message; 0 if none was answered.
	contact int64
	// instance is the instance that the replica last reported.
	instance string

	// snap is the snapshot being sent, offset that of its next chunk, and
	// chunkSentAt when a chunk was last sent.
	snap        SnapshotMeta
	offset      int64
	chunkSentAt time.Time
}

func (p *progress) becomeProbe(next uint64) {
	p.state, p.next, p.waiting, p.inflight = stateProbe, next, false, nil
}

func (p *progress) becomeReplicate() {
	p.state, p.waiting, p.inflight = stateReplicate, false, nil
	p.next = p.match + 1
}

// releaseInflight removes the appends up to index from the in-flight window.
func (p *progress) releaseInflight(index uint64) {
	i := 0
	for i < len(p.inflight) && p.inflight[i] <= index {
		i++
	}
	p.inflight = p.inflight[i:]
}
