// Package dispatch holds the leader's decisions about workers that are called:
// which attempts to start where, which orders to send, which ends to record and
// when an attempt is certain not to run any more. It is pure: time comes in as
// a parameter and orders go out as values. A Core is created when a replica
// becomes leader and dropped when it stops leading.
//
// Why no task runs twice:
//   - A start is sent only after it is in the log, under the leader's fencing
//     token. A new leader first calls each worker with its own, higher token.
//     From that answer on no older order is obeyed there, and what the worker
//     does not list is not running.
//   - A worker that does not answer keeps its attempts until the latest
//     deadline that any leader can have given it is over, measured for a worker
//     clock that is MaxClockSlow slow.
//   - A start without an answer may be carried out at any later time. The
//     attempt is released only after a stop of that run was answered and a list
//     taken after that does not name it.
package dispatch
