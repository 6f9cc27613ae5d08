package soak

import (
	"fmt"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// denseReadPause is the pause between two reads of the configuration at one host.
	denseReadPause = 15 * time.Millisecond
	// denseChangePause is the pause between two changes of the configuration.
	denseChangePause = 300 * time.Millisecond
	// plannedOverlap is how long a planned successor runs before its predecessor stops.
	plannedOverlap = 4 * time.Second
	// catchUp is how long after a loss of data, or a replacement, the group must survive
	// the next one.
	catchUp = 4 * time.Second
	// losses is how many control hosts may lose their data at once, of five or more.
	losses = 2
)

// controls returns the present control hosts.
func (s *system) controls() []*host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.control)
}

// lossesOf returns how many of that many control hosts may be lost at once.
func lossesOf(control int) int { return min(losses, (control-1)/2) }

// newControl returns a control host with an address of its own, which does not run.
func (s *system) newControl(bootstrap bool) *host {
	n := s.controlsMade
	s.controlsMade++
	h := &host{name: fmt.Sprintf("control-%d", n), role: "control", ip: fmt.Sprintf("%s.%d", s.net, 10+n), bootstrap: bootstrap, losses: lossesOf(s.o.Control)}
	h.seeds, h.binary, h.dir, h.lease = s.seeds, s.o.Binary, filepath.Join(s.o.Dir, h.name), s.lease()
	return h
}

// renewSeeds gives all hosts the addresses of present control hosts for their next start.
func (s *system) renewSeeds() {
	s.mu.Lock()
	s.seeds = nil
	for _, h := range s.control[:min(3, len(s.control))] {
		s.seeds = append(s.seeds, h.address(controlPort))
	}
	seeds := s.seeds
	s.mu.Unlock()
	for _, h := range s.hosts() {
		h.setSeeds(seeds)
	}
}

// addControl starts another control host.
func (s *system) addControl() (*host, error) {
	s.mu.Lock()
	h := s.newControl(false)
	s.mu.Unlock()
	if err := h.startEmpty(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.control = append(s.control, h)
	s.mu.Unlock()
	s.renewSeeds()
	if s.o.Dense {
		s.wg.Go(func() { s.readAt(h) })
	}
	return h, nil
}

// retire takes a control host out for good.
func (s *system) retire(h *host, sig syscall.Signal) {
	h.retire(sig)
	s.mu.Lock()
	s.control = slices.DeleteFunc(s.control, func(x *host) bool { return x == h })
	s.mu.Unlock()
	s.renewSeeds()
}

// replaceControl replaces a control host by one at another address. A planned successor
// comes first; then the old one is stopped gracefully.
func (s *system) replaceControl(f fault, h *host) error {
	if f.kind == replacePlanned {
		if _, err := s.addControl(); err != nil {
			return err
		}
		time.Sleep(plannedOverlap)
		s.retire(h, syscall.SIGTERM)
		return nil
	}
	s.retire(h, syscall.SIGKILL)
	time.Sleep(f.duration)
	_, err := s.addControl()
	return err
}

// loseDisks kills all control hosts, removes the data of as many as may be lost, and
// starts them again.
func (s *system) loseDisks(f fault) error {
	all := s.controls()
	for _, h := range all {
		h.signal(syscall.SIGKILL)
	}
	var err error
	for i := range lossesOf(s.o.Control) {
		err = errors.CombineErrors(err, all[(f.target+i)%len(all)].wipe())
	}
	time.Sleep(f.duration)
	for _, h := range all {
		err = errors.CombineErrors(err, h.start())
	}
	return err
}

// whole reports whether the group says that it survives as many losses as it must.
func (s *system) whole() bool {
	return slices.ContainsFunc(s.controls(), func(h *host) bool {
		n, ok := s.client.Gauge(h.address(metricsPort), "gooseberrypond_group_spare_voters")
		return ok && n >= float64(lossesOf(s.o.Control))
	})
}

// changeOften changes the configuration until the faults are over.
func (s *system) changeOften() {
	s.repeat(denseChangePause, func() {
		if !s.settling() {
			s.changeConfig("")
		}
	})
}

// readAt reads the configuration at one host again and again.
func (s *system) readAt(h *host) { s.repeat(denseReadPause, func() { s.readConfig(h) }) }

// readConfig reads the configuration at a host: it must not be older than what was
// acknowledged before the read, nor than what a host has shown before it.
func (s *system) readConfig(h *host) {
	var known int
	s.ledger.with(func() { known = max(s.ledger.version, s.ledger.shown) })
	v, ok := s.client.ConfigVersion(h.address(controlPort))
	if !ok {
		return
	}
	s.ledger.count("reads of the configuration")
	s.ledger.with(func() {
		s.ledger.shown = max(s.ledger.shown, v)
		if v < known {
			s.ledger.report("%s answers version %d after %d was acknowledged or shown", h.name, v, known)
		}
	})
}
