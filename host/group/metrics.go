package group

import "github.com/prometheus/client_golang/prometheus"

// strength tells how many voters the group can lose. Only the leader knows it.
type strength struct {
	// voters is the number of voters, answering the number of those that answer the
	// leader, itself included.
	voters, answering int
}

// spare returns how many of the answering voters can be lost at once without the loss
// of the quorum; it is negative while there is none.
func (s strength) spare() int { return s.answering - (s.voters/2 + 1) }

// add counts a voter.
func (s *strength) add(answers bool) {
	s.voters++
	if answers {
		s.answering++
	}
}

// setStrength records and logs a change of the group's strength.
func (g *Group) setStrength(id string, s strength) {
	if old := g.strength.Swap(&s); old != nil && *old == s {
		return
	}
	g.cfg.Logger.Info().Str("replica", id).Int("voters", s.voters).Int("answering", s.answering).Int("spare", s.spare()).
		Msg("strength of the group changed")
}

// Register registers the metrics of this host's replica.
func (g *Group) Register(reg prometheus.Registerer) {
	gauge := func(name, help string, read func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "gooseberrypond_" + name, Help: help}, read))
	}
	ofLeader := func(read func(strength) int) func() float64 {
		return func() float64 {
			s, rep := g.strength.Load(), g.rep.Load()
			if s == nil || rep == nil || !rep.HoldsLease() {
				return 0
			}
			return float64(read(*s))
		}
	}
	gauge("replica_suspended", "1 while the replica is not open or its disk is full.", func() float64 {
		if g.Suspended() {
			return 1
		}
		return 0
	})
	gauge("group_voters", "Voters of the group of control hosts; 0 on a host that does not lead.", ofLeader(func(s strength) int { return s.voters }))
	gauge("group_answering_voters", "Voters that answer the leader, itself included; 0 on a host that does not lead.", ofLeader(func(s strength) int { return s.answering }))
	gauge("group_spare_voters", "Answering voters that can be lost at once without the loss of the quorum; 0 on a host that does not lead.", ofLeader(strength.spare))
}
