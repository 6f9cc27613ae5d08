// Package replica runs one replica of the replicated log: it drives the
// consensus core with a clock, the disk and the network, applies committed
// entries to the state machine, and takes and installs snapshots.
//
// One goroutine, the loop, owns the core and the log files. Proposals that
// arrive while it syncs are written together with the next sync. A second
// goroutine applies entries, so that a slow state machine does not delay
// heartbeats. Any disk error stops the replica.
package replica
