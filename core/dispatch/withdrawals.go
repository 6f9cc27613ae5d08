package dispatch

import "time"

// withdrawalRetention is how long a withdrawal is kept: longer than a submission can be
// under way. Its bytes are repeated by the kernels of two hosts, for up to half an hour
// each (15 retries, two minutes apart at most, as by default on Linux), and an entry host
// sends no call that it reads after its caller's time is over.
const withdrawalRetention = 65 * time.Minute

// withdrawalMark says that all withdrawals up to a number are older than a time.
type withdrawalMark struct {
	last uint64
	at   time.Time
}

// oldWithdrawals returns the number up to which withdrawals have been kept for long enough;
// 0 if none has. A leader measures on its own steady clock and from its election at the
// earliest, so neither a step of the time of day nor an election shortens the time.
func (c *Core) oldWithdrawals(now time.Time) (last uint64) {
	first, next := c.tables.Withdrawals()
	known := uint64(0)
	if n := len(c.withdrawalMarks); n > 0 {
		known = c.withdrawalMarks[n-1].last
	}
	if next > first && next-1 > known {
		c.withdrawalMarks = append(c.withdrawalMarks, withdrawalMark{last: next - 1, at: now})
	}
	for len(c.withdrawalMarks) > 0 && c.withdrawalMarks[0].last < first {
		c.withdrawalMarks = c.withdrawalMarks[1:] // forgotten
	}
	for _, m := range c.withdrawalMarks {
		if now.Sub(m.at) < withdrawalRetention {
			break
		}
		last = m.last
	}
	return last
}
