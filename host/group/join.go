package group

import (
	"sync"
	"time"
)

// joinTimes has when replicas asked this leader to be added.
type joinTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

// add records that a replica asks to be added.
func (j *joinTimes) add(id string, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.at == nil {
		j.at = map[string]time.Time{}
	}
	j.at[id] = now
}

// limit returns the silence by which a member is judged, or the time since it asked to be
// added if that is less: it could not answer before. After voterTimeout it has had its
// time.
func (j *joinTimes) limit(id string, silence time.Duration, now time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	at, ok := j.at[id]
	if ok && now.Sub(at) > voterTimeout {
		delete(j.at, id)
		return silence
	}
	if !ok {
		return silence
	}
	return min(silence, now.Sub(at))
}
