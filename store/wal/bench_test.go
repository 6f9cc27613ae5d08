package wal

import (
	"testing"

	"gooseberrypond/store/consensus"
	"gooseberrypond/store/disk"
)

// BenchmarkRewrite measures the move of 16 MiB in 8,192 entries to a new segment.
func BenchmarkRewrite(b *testing.B) {
	c := Contents{}
	for i := range 8192 {
		c.Entries = append(c.Entries, consensus.Entry{Index: uint64(i) + 1, Term: 1, Data: make([]byte, 2048)})
	}
	l, err := Create(disk.OS{}, b.TempDir(), c)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := l.Rewrite(c); err != nil {
			b.Fatal(err)
		}
	}
}
