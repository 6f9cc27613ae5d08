package snapshot

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/consensus"
	"gooseberrypond/store/disk"
)

func testMeta(index uint64) consensus.SnapshotMeta {
	return consensus.SnapshotMeta{
		Last:       consensus.Position{Index: index, Term: 1},
		Membership: consensus.Membership{}.With(consensus.Member{ID: "a", Voter: true}),
	}
}

func newTestStore(t *testing.T, indexes ...uint64) (*Store, string) {
	t.Helper()
	dir := t.TempDir()
	s := NewStore(disk.OS{}, dir)
	for _, i := range indexes {
		if err := s.Save(testMeta(i), bytes.Repeat([]byte{byte(i)}, 50)); err != nil {
			t.Fatal(err)
		}
	}
	return s, dir
}

// Guards against a damaged snapshot that is restored, and against a replica that
// cannot start although the previous snapshot is valid. Each byte of the newest
// file is damaged in turn.
func TestLatestSkipsDamagedSnapshot(t *testing.T) {
	s, dir := newTestStore(t, 1, 2, 3)
	names, err := s.names()
	if err != nil || len(names) != maxSnapshots {
		t.Fatalf("snapshot files %v, error %v; want %d files", names, err, maxSnapshots)
	}
	path := filepath.Join(dir, names[1])
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range good {
		bad := append([]byte(nil), good...)
		bad[i] ^= 1
		if err := os.WriteFile(path, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		m, data, damaged, err := s.Latest()
		if version := i >= len(fileMagic) && i < len(fileMagic)+4; version {
			if err == nil || !strings.Contains(err.Error(), "not supported") {
				t.Fatalf("byte %d of the version is damaged: error %v, want an unsupported version", i, err)
			}
			continue
		}
		if err != nil || len(damaged) != 1 || m.Last.Index != 2 || data[0] != 2 {
			t.Fatalf("byte %d is damaged: snapshot %d, skipped %v, error %v; want snapshot 2 and one skipped", i, m.Last.Index, damaged, err)
		}
	}
}

// Guards against the installation of a transferred snapshot that is damaged or is
// not the announced one.
func TestInstallVerifiesTransfer(t *testing.T) {
	from, _ := newTestStore(t, 7)
	for _, x := range []struct {
		name string
		bad  func(offset int64, data []byte)
		last uint64
		ok   bool
	}{
		{"whole", func(int64, []byte) {}, 7, true},
		{"damaged", func(o int64, d []byte) {
			if o > 50 {
				d[0]++
			}
		}, 7, false},
		{"other", func(int64, []byte) {}, 8, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			to, dir := newTestStore(t, 1)
			for offset, done := int64(0), false; !done; {
				var data []byte
				var err error
				data, done, err = from.Chunk(testMeta(7).Last, offset, 10)
				if err != nil {
					t.Fatal(err)
				}
				n := int64(len(data))
				x.bad(offset, data)
				if err := to.Receive(offset, data); err != nil {
					t.Fatal(err)
				}
				offset += n
			}
			_, data, err := to.Install(testMeta(x.last).Last)
			if x.ok != (err == nil) || !x.ok && !errors.Is(err, ErrDamaged) {
				t.Fatalf("install: %v", err)
			}
			if x.ok && (len(data) != 50 || data[0] != 7) {
				t.Fatalf("installed data %v, want 50 bytes of value 7", data)
			}
			if err := disk.RemoveTemp(disk.OS{}, dir); err != nil {
				t.Fatal(err)
			}
			want := uint64(1)
			if x.ok {
				want = 7
			}
			if m, _, _, err := to.Latest(); err != nil || m.Last.Index != want {
				t.Fatalf("latest %v, %v; want %d", m.Last, err, want)
			}
		})
	}
}
