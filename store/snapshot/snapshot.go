// Package snapshot stores snapshots of the state machine in files. A file has a
// header with the format version, the log position and the membership, and
// CRC-32C checksums of the header and of the data. It is written under a
// temporary name and renamed after it is synced. The latest two snapshots are
// kept, so that a replica can start even if one of them is damaged.
package snapshot

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"gooseberrypond/core/codec"
	"gooseberrypond/store/consensus"
	"gooseberrypond/store/disk"
)

// FormatVersion is the version of the file format, stored in each file.
const FormatVersion = 1

const (
	fileMagic  = "GBPSNAP\n"
	fileSuffix = ".snap"
	// incomingName is the file to which a snapshot is written while it is received.
	incomingName = "incoming" + disk.TempSuffix
	// maxSnapshots is the number of snapshots that are not removed.
	maxSnapshots = 2
	// fixedSize is the total size of the magic, the version, the lengths of the
	// metadata and of the data, and the CRC over all of these and the metadata.
	fixedSize = len(fileMagic) + 4 + 4 + 8 + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrNoSnapshot means that the store has no snapshot files.
var ErrNoSnapshot = errors.New("no snapshot")

// Store is a directory of snapshots. Save may run concurrently with the methods
// that read.
type Store struct {
	fs  disk.FS
	dir string
	// mu serializes the removal of old files.
	mu sync.Mutex
	// incoming is the file of the snapshot that is being received; nil if there is none.
	incoming disk.File
}

// NewStore returns the store in a directory, which must exist.
func NewStore(fs disk.FS, dir string) *Store { return &Store{fs: fs, dir: dir} }

func (s *Store) path(last consensus.Position) string {
	return filepath.Join(s.dir, fmt.Sprintf("%020d-%020d%s", last.Index, last.Term, fileSuffix))
}

// Save writes a snapshot and removes all but the last two.
func (s *Store) Save(meta consensus.SnapshotMeta, data []byte) error {
	header, err := encodeHeader(meta, len(data))
	if err != nil {
		return err
	}
	trailer := binary.LittleEndian.AppendUint32(nil, crc32.Checksum(data, castagnoli))
	if err := disk.WriteFile(s.fs, s.path(meta.Last), header, data, trailer); err != nil {
		return err
	}
	return s.removeOld()
}

func (s *Store) removeOld() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	names, err := s.names()
	if err != nil {
		return err
	}
	for i := 0; i < len(names)-maxSnapshots; i++ {
		if err := s.fs.Remove(filepath.Join(s.dir, names[i])); err != nil {
			return errors.Wrap(err, "remove old snapshot")
		}
	}
	return nil
}

func (s *Store) names() ([]string, error) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", s.dir)
	}
	return slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, fileSuffix) }), nil
}

// Latest returns the newest valid snapshot, or ErrNoSnapshot if there are no
// files. damaged lists the errors of newer snapshots that were skipped.
func (s *Store) Latest() (meta consensus.SnapshotMeta, data []byte, damaged []error, err error) {
	names, err := s.names()
	if err != nil {
		return meta, nil, nil, err
	}
	for i := len(names) - 1; i >= 0; i-- {
		meta, data, err := s.load(filepath.Join(s.dir, names[i]))
		if err == nil {
			return meta, data, damaged, nil
		}
		if errors.Is(err, errVersion) {
			return meta, nil, damaged, err
		}
		damaged = append(damaged, err)
	}
	if len(damaged) > 0 {
		return meta, nil, damaged, errors.Wrap(damaged[0], "no valid snapshot")
	}
	return meta, nil, nil, ErrNoSnapshot
}

func (s *Store) load(path string) (consensus.SnapshotMeta, []byte, error) {
	file, err := s.fs.ReadFile(path)
	if err != nil {
		return consensus.SnapshotMeta{}, nil, errors.Wrapf(err, "read %s", path)
	}
	meta, data, err := decode(file)
	return meta, data, errors.Wrapf(err, "%s", path)
}

// Chunk reads up to size bytes of a snapshot file at the offset. done is true if
// the chunk reaches the end of the file.
func (s *Store) Chunk(last consensus.Position, offset int64, size int) (data []byte, done bool, err error) {
	data = make([]byte, size)
	n, err := s.fs.ReadAt(s.path(last), data, offset)
	if errors.Is(err, io.EOF) {
		return data[:n], true, nil
	}
	return data[:n], false, errors.Wrap(err, "read snapshot chunk")
}

// Receive appends a chunk of a snapshot sent by another replica. A chunk with
// offset 0 discards a partly received snapshot and begins a new one. If the disk is
// full, the call can be repeated, unless the error is ErrDamaged: then the transfer
// has to begin again.
func (s *Store) Receive(offset int64, data []byte) error {
	if offset == 0 {
		s.DiscardIncoming()
		f, err := s.fs.Create(filepath.Join(s.dir, incomingName))
		if err != nil {
			return errors.Wrap(err, "create received snapshot")
		}
		s.incoming = f
	}
	if s.incoming == nil {
		return errors.New("chunk of a snapshot that was not begun")
	}
	_, err := s.incoming.Write(data)
	if disk.IsFull(err) {
		if cut := s.incoming.Truncate(offset); cut != nil {
			s.DiscardIncoming()
			return errors.Mark(errors.Wrap(cut, "remove incomplete chunk"), ErrDamaged)
		}
	}
	return errors.Wrap(err, "write received snapshot")
}

// DiscardIncoming closes the file of the snapshot that is being received, so that
// further chunks need to start at offset 0.
func (s *Store) DiscardIncoming() {
	if s.incoming != nil {
		s.incoming.Close()
		s.incoming = nil
	}
}

// ErrDamaged marks errors of a received snapshot that is invalid or is not the
// announced one.
var ErrDamaged = errors.New("snapshot is damaged")

// Install syncs and verifies the received snapshot and gives it its final name. If
// the disk is full, it returns ErrDamaged, since the data may not have been written.
func (s *Store) Install(last consensus.Position) (meta consensus.SnapshotMeta, data []byte, err error) {
	meta, data, err = s.install(last)
	if disk.IsFull(err) {
		s.DiscardIncoming()
		err = errors.Mark(err, ErrDamaged)
	}
	return meta, data, err
}

func (s *Store) install(last consensus.Position) (meta consensus.SnapshotMeta, data []byte, err error) {
	if s.incoming == nil {
		return meta, nil, errors.New("no snapshot was received")
	}
	if err := s.incoming.Sync(); err != nil {
		return meta, nil, errors.Wrap(err, "sync received snapshot")
	}
	s.DiscardIncoming()
	path := filepath.Join(s.dir, incomingName)
	meta, data, err = s.load(path)
	if err != nil {
		return meta, nil, errors.Mark(err, ErrDamaged)
	}
	if meta.Last != last {
		return meta, nil, errors.Mark(errors.Newf("received snapshot is at %v, want %v", meta.Last, last), ErrDamaged)
	}
	if err := s.fs.Rename(path, s.path(last)); err != nil {
		return meta, nil, errors.Wrap(err, "rename received snapshot")
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return meta, nil, errors.Wrapf(err, "sync %s", s.dir)
	}
	return meta, data, s.removeOld()
}

// encodeHeader returns the part of a file that precedes the data. The CRC of the
// data follows the data.
func encodeHeader(meta consensus.SnapshotMeta, dataLen int) ([]byte, error) {
	m, err := cbor.Marshal(meta)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot metadata")
	}
	b := []byte(fileMagic)
	b = binary.LittleEndian.AppendUint32(b, FormatVersion)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(m)))
	b = binary.LittleEndian.AppendUint64(b, uint64(dataLen))
	b = binary.LittleEndian.AppendUint32(b, crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, m))
	return append(b, m...), nil
}

var errVersion = errors.New("snapshot format version is not supported")

func decode(b []byte) (meta consensus.SnapshotMeta, data []byte, err error) {
	n := len(fileMagic)
	if len(b) < fixedSize || string(b[:n]) != fileMagic {
		return meta, nil, errors.New("not a snapshot file")
	}
	if v := binary.LittleEndian.Uint32(b[n:]); v != FormatVersion {
		return meta, nil, errors.Wrapf(errVersion, "version %d, want %d", v, FormatVersion)
	}
	ml := uint64(binary.LittleEndian.Uint32(b[n+4:]))
	dl := binary.LittleEndian.Uint64(b[n+8:])
	if uint64(len(b)) != uint64(fixedSize)+ml+dl+4 {
		return meta, nil, errors.Newf("snapshot file has %d bytes, want %d", len(b), uint64(fixedSize)+ml+dl+4)
	}
	m, rest := b[fixedSize:uint64(fixedSize)+ml], b[uint64(fixedSize)+ml:]
	crc := crc32.Update(crc32.Checksum(b[:fixedSize-4], castagnoli), castagnoli, m)
	if crc != binary.LittleEndian.Uint32(b[fixedSize-4:]) {
		return meta, nil, errors.New("snapshot header is damaged")
	}
	data = rest[:dl]
	if crc32.Checksum(data, castagnoli) != binary.LittleEndian.Uint32(rest[dl:]) {
		return meta, nil, errors.New("snapshot data is damaged")
	}
	return meta, data, errors.Wrap(codec.Unmarshal(m, &meta), "decode snapshot metadata")
}
