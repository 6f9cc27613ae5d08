// Package replica runs one replica of the replicated log: it drives the
// consensus core with a clock, the disk and the network, applies committed
// entries to the state machine, and takes and installs snapshots.
//
// One goroutine, the event loop, owns the consensus core and the log files.
// Proposals that arrive while it syncs the log are written together and share
// the next sync. A second goroutine applies committed entries, so that a slow
// state machine does not delay heartbeats. A full disk suspends the replica until it
// can write; any other disk error stops it.
package replica
