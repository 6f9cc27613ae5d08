package soak

import (
	"net/http"
	"testing"
	"time"

	"gooseberrypond/platform/standin"
)

// recoveryBound is how long after all processes run again a configuration must be read and
// a change acknowledged.
const recoveryBound = 12 * time.Second

// Guards against an acknowledged configuration that cannot be read any more, and jobs that
// are not known: hosts that were replaced as planned still count for a quorum when, within
// what must be survived, others lose their disks.
func TestConfigurationSurvivesReplacedHostsAndLostDisks(t *testing.T) {
	s := lateSystem(t, 5, 1)
	s.whileWaiting(t, "five voters", func() bool { return s.whole() })
	for range 2 {
		if err := s.replaceControl(fault{kind: replacePlanned}, s.controls()[0]); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(catchUp)
	const version, id = 2, "0000000000000001"
	s.whileWaiting(t, "an accepted job", func() bool {
		job := &standin.Job{Work: standin.Work{CPUMilli: 100, DurationMS: 100}, Steps: []int{1}}
		return s.client.Submit(s.entry[0].address(frontendPort), queueOf(id), id, s.keys[ownerOf(id)], job).Status == http.StatusOK
	})
	if !s.putConfig(version, recoveryBound) {
		t.Fatal("a change was not acknowledged after two planned replacements")
	}
	if err := s.loseDisks(fault{duration: 500 * time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	back := time.Now()
	if !s.untilAcknowledged(recoveryBound, func(c *host) int {
		if v, ok := s.client.ConfigVersion(c.address(controlPort)); ok && v >= version {
			return 200
		}
		return 0
	}) {
		t.Fatalf("version %d is not read %v after all hosts were back", version, recoveryBound)
	}
	s.whileWaiting(t, "the accepted job to be known", func() bool {
		return s.client.Look(s.entry[0].address(frontendPort), queueOf(id), id, s.keys[ownerOf(id)]).Status == http.StatusOK
	})
	t.Logf("read %v after all hosts were back", time.Since(back).Round(time.Millisecond))
	if !s.putConfig(version+1, recoveryBound-time.Since(back)) {
		t.Fatalf("no change is acknowledged %v after all hosts were back", recoveryBound)
	}
}

func (s *system) whileWaiting(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited too long for %s", what)
		}
	}
}
