//go:build !linux

package arrival

import (
	"syscall"
	"time"
)

// sinceReceived returns 0: there is no portable way to ask.
func sinceReceived(syscall.RawConn) time.Duration { return 0 }

// isClosedByPeer returns false: there is no portable way to ask.
func isClosedByPeer(syscall.RawConn) bool { return false }
