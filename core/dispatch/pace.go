package dispatch

import "time"

// adjustPace slows the fillers of a worker while a task that serves there is
// near its tail target, and lets them work again once it is well below.
func (c *Core) adjustPace(now time.Time, ws *workerState) {
	worst, fillers := 0.0, false
	for a, r := range ws.runs {
		if a.Step.Filler {
			fillers = true
		}
		if a.Step.TailTargetMS > 0 && r.seen && r.percent >= 100 {
			worst = max(worst, r.measure/float64(a.Step.TailTargetMS))
		}
	}
	if !fillers {
		ws.pace = 100
		return
	}
	switch since := now.Sub(ws.pacedAt); {
	case worst >= 1 && since >= paceDownInterval && ws.pace > 0:
		ws.pace, ws.pacedAt = ws.pace/4, now
	case worst >= paceDownRatio && since >= paceDownInterval && ws.pace > 0:
		ws.pace, ws.pacedAt = ws.pace*2/3, now
	case worst < paceUpRatio && since >= paceUpInterval && ws.pace < 100:
		ws.pace, ws.pacedAt = min(100, ws.pace+paceStep), now
	}
	if ws.pace < minPace {
		ws.pace = 0
	}
	for a, r := range ws.runs {
		if a.Step.Filler && r.pace != ws.pace && (r.seen || !r.answeredAt.IsZero()) {
			c.openRun(r)
		}
	}
}

// minPace is the share below which fillers stand still: a filler disturbs by
// its presence at any share, and does next to nothing.
const minPace = 5
