package admission

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against bytes from others that end the process, that are passed on changed, or
// that make a message longer than the limit.
func FuzzMessages(f *testing.F) {
	for _, seed := range []string{"", "\x03abc", "\x00\x00", "\xff\x80" + string(make([]byte, 128)), "\xfc\x00\x00\x00\x02ab", "\xf8\xff\xff\xff\xff\xff\xff\xff\xff", "\x80", "\xf7"} {
		f.Add([]byte(seed))
	}
	const limit = 1000
	f.Fuzz(func(t *testing.T, stream []byte) {
		p := NewPort("test", Limits{Connections: 1, RequestBytes: 1 << 20, MessageBytes: limit}, zerolog.Nop())
		c := &conn{port: p}
		m := &messageReader{from: bufio.NewReader(bytes.NewReader(stream)), limit: limit, calls: &callTable{conn: c, inProgress: map[uint64]int64{}}}
		got, err := io.ReadAll(m)
		if !bytes.HasPrefix(stream, got) {
			t.Errorf("%x was passed on as %x", stream, got)
		}
		if err == nil && len(got) != len(stream) {
			t.Errorf("%d of %d bytes were passed on without an error", len(got), len(stream))
		}
		if m.left > limit && m.failed == nil {
			t.Errorf("a message of %d bytes is read, at most %d are allowed", m.left, limit)
		}
	})
}
