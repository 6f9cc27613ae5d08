package main

import (
	"encoding/gob"
	"encoding/json"
	"fmt"
	"net/rpc"
	"runtime"
	"slices"
	"syscall"
	"time"
	"unsafe"

	"github.com/fxamacker/cbor/v2"

	"gooseberrypond/core/structs"
	hostrpc "gooseberrypond/host/rpc"
)

// clockThreadCPUTime is CLOCK_THREAD_CPUTIME_ID of clock_gettime(2).
const clockThreadCPUTime = 3

// tally counts messages and their bytes.
type tally struct{ n, bytes int }

// meter adds up processor time by part of the system and bytes by type of message.
type meter struct {
	cost  map[string]time.Duration
	bytes map[string]*tally
	// ticks are the processor times of the leader's ticks.
	ticks []time.Duration
	// streams holds a gob stream for each type of message. As on a connection,
	// type descriptions are sent only once.
	streams map[string]*stream
}

// newMeter locks the calling goroutine to its thread, because processor time is
// read per thread.
func newMeter() meter {
	runtime.LockOSThread()
	return meter{cost: map[string]time.Duration{}, bytes: map[string]*tally{}, streams: map[string]*stream{}}
}

func (m *meter) clear() {
	clear(m.cost)
	clear(m.bytes)
	m.ticks = nil
}

// timed runs fn and adds its processor time on this thread to part. It does not
// include the garbage collector's work on other threads.
func (m *meter) timed(part string, fn func()) time.Duration {
	begun := threadTime()
	fn()
	took := threadTime() - begun
	m.cost[part] += took
	return took
}

// threadTime returns the processor time of this thread. It uses clock_gettime
// because getrusage counts in steps of 4 ms.
func threadTime() time.Duration {
	var t syscall.Timespec
	_, _, _ = syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockThreadCPUTime, uintptr(unsafe.Pointer(&t)), 0)
	return time.Duration(t.Nano())
}

// count adds a message of the given size.
func (m *meter) count(message string, bytes int) {
	t := m.bytes[message]
	if t == nil {
		t = &tally{}
		m.bytes[message] = t
	}
	t.n++
	t.bytes += bytes
}

// stream is a gob stream whose bytes are counted.
type stream struct {
	enc *gob.Encoder
	n   int
}

// Write implements io.Writer.
func (s *stream) Write(b []byte) (int, error) {
	s.n += len(b)
	return len(b), nil
}

// gob counts a message in gob encoding, with its net/rpc header.
func (m *meter) gob(message string, header, body any) {
	s := m.streams[message]
	if s == nil {
		s = &stream{}
		s.enc = gob.NewEncoder(s)
		m.streams[message] = s
	}
	s.n = 0
	for _, v := range []any{header, body} {
		if err := s.enc.Encode(v); err != nil {
			panic(err) // these types can always be encoded
		}
	}
	m.count(message, s.n)
}

// json counts a message in JSON encoding.
func (m *meter) json(message string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // these types can always be encoded
	}
	m.count(message, len(data))
}

func header(from string) hostrpc.Header {
	return hostrpc.Header{Cluster: "capacity", Format: hostrpc.FormatVersion, From: from, TimeoutMS: 600}
}

func (m *meter) countWorkerSync(req *structs.WorkerSync) {
	m.json("worker sync, JSON", req)
	m.gob("worker sync, gob", &rpc.Request{ServiceMethod: "Control.WorkerSync", Seq: 1}, hostrpc.Request[*structs.WorkerSync]{Header: header("entry-1"), Body: req})
}

func (m *meter) countWorkerReply(reply *structs.WorkerSyncReply) {
	m.json("worker reply, JSON", reply)
	m.gob("worker reply, gob", &rpc.Response{ServiceMethod: "Control.WorkerSync", Seq: 1}, hostrpc.Reply[*structs.WorkerSyncReply]{Body: reply})
}

func (m *meter) countEntrySync(req *structs.EntrySync, view *structs.EntryView) {
	m.gob("entry sync, gob", &rpc.Request{ServiceMethod: "Control.Sync", Seq: 1}, hostrpc.Request[*structs.EntrySync]{Header: header(req.Host), Body: req})
	m.gob("entry view, gob", &rpc.Response{ServiceMethod: "Control.Sync", Seq: 1}, hostrpc.Reply[*structs.EntryView]{Body: view})
}

// print writes the cost per virtual second since the last clear.
func (s *simulation) print(seconds float64) {
	fmt.Printf("\n%d workers, %d tasks running, %.0f starts/s\n", len(s.workers), s.running(), s.rate)
	for _, part := range sorted(s.cost) {
		fmt.Printf("  %-22s %9.3f ms/s\n", part, s.cost[part].Seconds()*1000/seconds)
	}
	slices.Sort(s.ticks)
	fmt.Printf("  %-22s p50 %.3f ms, p99 %.3f ms, max %.3f ms\n", "one tick", ms(s.ticks, 0.5), ms(s.ticks, 0.99), ms(s.ticks, 1))
	for _, message := range sorted(s.bytes) {
		t := s.bytes[message]
		fmt.Printf("  %-22s %8.1f /s %9.0f B each %10.1f KB/s\n", message, float64(t.n)/seconds, float64(t.bytes)/float64(t.n), float64(t.bytes)/seconds/1000)
	}
}

// printState writes the sizes of the catalogue, the tables, the leader's state and
// a snapshot. It takes the heap size before the simulation was built, and drops all but
// the tables to measure them apart.
func (s *simulation) printState(before float64) error {
	n := len(s.workers)
	withLeader := heapMB()
	s.core, s.workers, s.hosts, s.byID, s.ends, s.streams = nil, nil, nil, nil, nil, nil
	tables := heapMB()
	data, err := s.t.Encode()
	if err != nil {
		return err
	}
	document, err := cbor.Marshal(s.t.Catalogue())
	if err != nil {
		return err
	}
	fmt.Printf("\n%d workers: catalogue %.1f KB, tables %.1f MB, leader's state with stand-ins %.1f MB, snapshot %.2f MB\n", n, float64(len(document))/1000, tables-before, withLeader-tables, float64(len(data))/1e6)
	return nil
}

// sorted returns the keys of m in order.
func sorted[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// ms returns the quantile q of sorted durations in milliseconds.
func ms(sorted []time.Duration, q float64) float64 {
	return sorted[int(q*float64(len(sorted)-1))].Seconds() * 1000
}

// heapMB returns the size of the live heap in MB.
func heapMB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}
