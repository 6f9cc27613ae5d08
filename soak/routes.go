package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// routeBound is how long after its acknowledgement a configuration must be in force at
	// every entry host.
	routeBound = 2 * time.Second
	// routePause is the pause between two checks of a route.
	routePause = 30 * time.Millisecond
)

// routeOf returns the route that only one version of the configuration has.
func routeOf(version int) string { return fmt.Sprintf("/v%d/", version) }

// checkRoutes asks the entry hosts for routes that the latest changes have added and
// removed.
func (s *system) checkRoutes() {
	r := rand.New(rand.NewPCG(s.o.Seed, 4))
	s.repeat(routePause, func() {
		var inForce, sent int
		s.ledger.with(func() { inForce, sent = s.ledger.inForce(time.Now()), s.ledger.sent })
		if inForce == 0 {
			return
		}
		if old := inForce - 1 - r.IntN(3); old > 0 {
			s.checkRoute(r, old, inForce, false)
		}
		if sent == inForce {
			s.checkRoute(r, inForce, inForce, true)
		}
	})
}

// checkRoute asks any entry host for the route of a version while a version has to be in
// force. An answer other than 404 shows that the route is there, and counts only if no
// later version was sent meanwhile.
func (s *system) checkRoute(r *rand.Rand, version, inForce int, want bool) {
	h := s.entry[r.IntN(len(s.entry))]
	asked := time.Now()
	status := s.client.Look(h.address(frontendPort), routeOf(version), "", s.key("harbour")).Status
	s.ledger.with(func() {
		switch {
		case status == 404 && want && s.ledger.sent == inForce:
			s.ledger.report("%s does not know the route of version %d, asked %v after the acknowledgement", h.name, version, asked.Sub(s.ledger.ackedAt[inForce]))
		case (status == 200 || status == 401) && !want:
			s.ledger.report("%s serves the route of version %d, asked %v after version %d was acknowledged", h.name, version, asked.Sub(s.ledger.ackedAt[inForce]), inForce)
		case status == 200 || status == 404:
			s.ledger.counts["checks of routes"]++
		}
	})
}

// inForce returns the newest version that has to be in force; 0 if none has.
func (l *ledger) inForce(now time.Time) int {
	for v := l.version; v > 0; v-- {
		if at, ok := l.ackedAt[v]; ok && now.Sub(at) > routeBound {
			return v
		}
	}
	return 0
}
