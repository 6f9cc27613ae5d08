package graph

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	// maxCapacity is far above the processors, memory or accelerators of any host. The sum
	// over a million workers does not overflow.
	maxCapacity = 1 << 40
	// maxExactInteger is the largest integer up to which JSON numbers are exact everywhere.
	maxExactInteger = 1 << 53
	// maxNameBytes is the longest id, address, pool, domain or label of a report.
	maxNameBytes = 512
	// maxLabels is the largest number of labels of a worker.
	maxLabels = 512
	// maxBornAhead is how far ahead of this host's clock a worker's start may lie.
	maxBornAhead = 24 * time.Hour
)

// Check returns an error if no worker can have sent the report: others may write reports
// too. now is used to judge the start time; its zero value leaves that out.
func (r *WorkerReport) Check(now time.Time) error {
	c := r.Capacity
	switch {
	case c.CPUMilli < 0 || c.CPUMilli > maxCapacity || c.MemoryMB < 0 || c.MemoryMB > maxCapacity || c.Accelerators < 0 || c.Accelerators > maxCapacity:
		return errors.Newf("capacity of %d thousandths of a core, %d MiB and %d accelerators, each must be 0 to %d", c.CPUMilli, c.MemoryMB, c.Accelerators, int64(maxCapacity))
	case r.Born < 0 || r.Born > maxExactInteger:
		return errors.Newf("start time %d is not in 0 to %d", r.Born, int64(maxExactInteger))
	case !now.IsZero() && r.Born > now.Add(maxBornAhead).UnixMilli():
		return errors.Newf("start time %d is more than %s ahead of %d", r.Born, maxBornAhead, now.UnixMilli())
	case r.Seq < 0 || r.Seq > maxExactInteger || r.RemainingMS < 0 || r.RemainingMS > maxCapacity:
		return errors.Newf("sequence number %d or remaining time %d ms is out of range", r.Seq, r.RemainingMS)
	case len(r.Labels) > maxLabels:
		return errors.Newf("%d labels, at most %d are allowed", len(r.Labels), maxLabels)
	}
	for _, name := range append([]string{r.ID, r.Address, r.Pool, r.Domain}, r.Labels...) {
		if len(name) > maxNameBytes {
			return errors.Newf("a name of %d bytes, at most %d are allowed", len(name), maxNameBytes)
		}
		if !utf8.ValidString(name) {
			return errors.Newf("name %q is not UTF-8", name)
		}
	}
	return checkAddress(r.Address)
}

// LabelBytes returns the size of all labels.
func (r *WorkerReport) LabelBytes() (n int) {
	for _, l := range r.Labels {
		n += len(l)
	}
	return n
}

// checkAddress returns an error if an address cannot be that of another host's port.
func checkAddress(address string) error {
	colon := strings.LastIndexByte(address, ':')
	if colon <= 0 {
		return errors.Newf("address %q is not a host and a port", address)
	}
	host, port := strings.Trim(address[:colon], "[]"), address[colon+1:]
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Newf("address %q: port %q is not in 1 to 65535", address, port)
	}
	if host == "" || strings.ContainsAny(host, " \t\r\n/@?#%") {
		return errors.Newf("address %q: invalid host %q", address, host)
	}
	if ip, err := netip.ParseAddr(host); err == nil && (ip.IsUnspecified() || ip.IsMulticast()) {
		return errors.Newf("address %q is not that of one host", address)
	}
	return nil
}
