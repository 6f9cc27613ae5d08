package replica

import (
	"encoding/binary"
	"sync"
)

// register is a state machine that holds one integer and counts the writes to it.
type register struct {
	mu            sync.Mutex
	value, writes int
	// padding is appended to snapshots, for tests that need large ones.
	padding []byte
}

func newRegister() *register { return &register{} }

func write(v int) []byte { return binary.LittleEndian.AppendUint64(nil, uint64(v)) }

func (r *register) Apply(_ uint64, data []byte) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = int(binary.LittleEndian.Uint64(data))
	r.writes++
	return r.value
}

func (r *register) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(append(write(r.value), write(r.writes)...), r.padding...), nil
}

func (r *register) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = int(binary.LittleEndian.Uint64(data))
	r.writes = int(binary.LittleEndian.Uint64(data[8:]))
	r.padding = data[16:]
	return nil
}

func (r *register) get() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value
}

// writeCount returns the number of writes applied.
func (r *register) writeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writes
}
