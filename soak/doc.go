// Package soak runs the real programs as separate processes on loopback, beside
// stand-ins of workers, callers and the operator, brings about a random series of
// faults from outside them, and checks what the stand-ins see. A seed repeats the
// schedule of faults and load; it cannot repeat how the processes interleave.
//
// Checked while it runs: a task never runs in two places; nothing starts after an end
// that was noted; the runs on a worker fit it; an organisation stays within its limit; a
// job that was refused every time never runs; an acknowledged configuration is never
// read older; a withdrawn key is refused. Checked after the faults: every accepted job is
// known and reaches its end, none is shown as failed unless a task has failed often
// enough, and nothing of an ended job runs.
//
// Each worker stands behind a proxy of its own (proxy.go), and has one life after the
// other under its id (rebirth.go). A life that ends runs and answers nothing any more;
// calls that wait in the proxy may reach the next one. A reborn run plays mostly that, with
// long tasks and longer leases, so that a run that is released too early is seen beside
// the next one.
//
// A dense run has no jobs. It plays faults of control hosts only, some of which cost data
// or replace hosts, changes the configuration all the time, and reads it at each control
// host all the time: no read may be older than what was acknowledged, or shown by any
// host, before it was sent. Data is lost, and hosts are replaced, only when the group says
// that it is whole and the last such fault is over for the platform's catch-up time.
package soak
