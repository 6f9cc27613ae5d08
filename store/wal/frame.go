package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"gooseberrypond/store/consensus"
)

// FormatVersion is the version in the header of each segment.
const FormatVersion = 1

const (
	fileMagic  = "GBPWAL\r\n"
	headerSize = len(fileMagic) + 4 + 4 // magic, version, CRC of both

	frameMagic  = 0x5eedf00d
	frameHeader = 4 + 4 + 8 + 4 // magic, length, sequence number, CRC

	// maxFrame limits the payload of a frame, in bytes. A frame with
	// a larger length is treated as damaged.
	maxFrame = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// batch is the payload of a frame. Each sync covers one frame, so a crash can
// only damage the last frame.
type batch struct {
	State   *consensus.HardState `cbor:"1,keyasint,omitempty"`
	Entries []consensus.Entry    `cbor:"2,keyasint,omitempty"`
	// Base is set only in the first frame of a segment, which holds the complete
	// log and hard state.
	Base *consensus.Position `cbor:"3,keyasint,omitempty"`
}

func appendHeader(b []byte) []byte {
	start := len(b)
	b = append(b, fileMagic...)
	b = binary.LittleEndian.AppendUint32(b, FormatVersion)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
}

func checkHeader(path string, data []byte) error {
	if len(data) < headerSize || string(data[:len(fileMagic)]) != fileMagic {
		return errors.Newf("%s: offset 0: not a log segment", path)
	}
	n := len(fileMagic)
	if v := binary.LittleEndian.Uint32(data[n:]); v != FormatVersion {
		return errors.Newf("%s: log format version %d is not supported, want %d", path, v, FormatVersion)
	}
	if crc32.Checksum(data[:n+4], castagnoli) != binary.LittleEndian.Uint32(data[n+4:]) {
		return errors.Newf("%s: offset 0: segment header is damaged", path)
	}
	return nil
}

func appendFrame(b []byte, seq uint64, x *batch) ([]byte, error) {
	payload, err := cbor.Marshal(x)
	if err != nil {
		return nil, errors.Wrap(err, "encode log frame")
	}
	if len(payload) > maxFrame {
		return nil, errors.Newf("log frame of %d bytes is larger than %d", len(payload), maxFrame)
	}
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint32(b, frameCRC(b[start:], payload))
	return append(b, payload...), nil
}

func frameCRC(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:16], castagnoli), castagnoli, payload)
}

// readFrame reads the frame at the start of data. ok is false if the frame is
// incomplete or damaged.
func readFrame(data []byte) (seq uint64, payload []byte, ok bool) {
	if len(data) < frameHeader || binary.LittleEndian.Uint32(data) != frameMagic {
		return 0, nil, false
	}
	n := binary.LittleEndian.Uint32(data[4:])
	if n == 0 || n > maxFrame || uint64(n) > uint64(len(data)-frameHeader) {
		return 0, nil, false
	}
	payload = data[frameHeader : frameHeader+int(n)]
	if frameCRC(data, payload) != binary.LittleEndian.Uint32(data[16:]) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(data[8:]), payload, true
}

// findFrame returns the offset of the first valid frame in data that has a
// sequence number of at least minSeq, or -1.
func findFrame(data []byte, minSeq uint64) int {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for at := 0; ; {
		i := bytes.Index(data[at:], magic)
		if i < 0 {
			return -1
		}
		at += i
		if seq, _, ok := readFrame(data[at:]); ok && seq >= minSeq {
			return at
		}
		at++
	}
}
