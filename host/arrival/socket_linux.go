package arrival

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// sinceReceived returns the time since data last arrived on a socket; 0 if the kernel does
// not say.
func sinceReceived(raw syscall.RawConn) (age time.Duration) {
	err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if err != nil { // the connection is closed on this side: its call has ended
		return 0
	}
	return age
}

// tcpClosed has the states in which the other end has closed the connection.
var tcpClosed = map[uint8]bool{
	unix.BPF_TCP_CLOSE_WAIT: true, unix.BPF_TCP_LAST_ACK: true, unix.BPF_TCP_CLOSING: true,
	unix.BPF_TCP_TIME_WAIT: true, unix.BPF_TCP_CLOSE: true,
}

// isClosedByPeer reports whether the other end has closed or reset the connection, also
// while some of what it sent before has not been read. It reads nothing. Control, other
// than Read, does not wait for a read in progress.
func isClosedByPeer(raw syscall.RawConn) (closed bool) {
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && tcpClosed[info.State] || isAtEnd(int(fd))
	})
	return closed || err != nil
}

// isAtEnd reports whether nothing more can be read from a socket.
func isAtEnd(fd int) bool {
	var next [1]byte
	n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n == 0 || err == unix.ECONNRESET || err == unix.ETIMEDOUT
}
