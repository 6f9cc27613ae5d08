package replica

import (
	"encoding/binary"
	"encoding/json"
	"sync"
)

// register is a state machine that holds one number and counts its writes.
type register struct {
	mu     sync.Mutex
	Value  int
	Writes int
	Last   uint64
	// Pad makes snapshots as large as a test needs.
	Pad []byte
}

func newRegister() *register { return &register{} }

func write(v int) []byte { return binary.LittleEndian.AppendUint64(nil, uint64(v)) }

func (r *register) Apply(index uint64, data []byte) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Value = int(binary.LittleEndian.Uint64(data))
	r.Writes++
	r.Last = index
	return r.Value
}

func (r *register) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Marshal(r)
}

func (r *register) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Unmarshal(data, r)
}

func (r *register) get() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Value
}
