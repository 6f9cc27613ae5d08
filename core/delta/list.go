// Package delta encodes the syncs between entry hosts and the leader as the
// differences to the last exchange that the host has confirmed, and restores the
// complete messages. A restored message equals the original, or the exchange has
// no effect, so routing and shares of limits always see complete reports and
// views.
//
// The package does no I/O and reads no clock. Its types are not safe for
// concurrent use.
package delta

import (
	"cmp"
	"slices"

	"gooseberrypond/core/structs"
)

// diff returns the items of next that are missing or different in old, and the
// items of old whose key is missing in next. Both lists are sorted by key.
func diff[T comparable](old, next []T, compare func(a, b T) int) (changed, gone []T) {
	for len(old) > 0 || len(next) > 0 {
		switch c := compareFirst(old, next, compare); {
		case c < 0:
			gone = append(gone, old[0])
			old = old[1:]
		case c > 0:
			changed = append(changed, next[0])
			next = next[1:]
		default:
			if old[0] != next[0] {
				changed = append(changed, next[0])
			}
			old, next = old[1:], next[1:]
		}
	}
	return changed, gone
}

// merge returns old with the changed items inserted or replaced, without the items
// for which isGone returns true. Both lists are sorted by key.
func merge[T any](old, changed []T, compare func(a, b T) int, isGone func(T) bool) []T {
	out := make([]T, 0, len(old)+len(changed))
	for len(old) > 0 || len(changed) > 0 {
		c := compareFirst(old, changed, compare)
		item := old
		if c >= 0 {
			item = changed
			changed = changed[1:]
		}
		if !isGone(item[0]) {
			out = append(out, item[0])
		}
		if c <= 0 {
			old = old[1:]
		}
	}
	return out
}

// compareFirst compares the first items of two lists; an empty list sorts last.
func compareFirst[T any](a, b []T, compare func(a, b T) int) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	}
	return compare(a[0], b[0])
}

// sorted returns the list sorted by key. It returns a copy if the list is not
// sorted yet.
func sorted[T any](list []T, compare func(a, b T) int) []T {
	if slices.IsSortedFunc(list, compare) {
		return list
	}
	list = slices.Clone(list)
	slices.SortFunc(list, compare)
	return list
}

func compareKeys(a, b structs.GrantKey) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

func compareHoldings(a, b structs.Holding) int { return compareKeys(a.Key, b.Key) }

func compareGrants(a, b structs.Grant) int { return compareKeys(a.Key, b.Key) }

func compareUpstreams(a, b structs.Upstream) int { return cmp.Compare(a.Name, b.Name) }
