package admission

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// setReceiveBuffer limits what the kernel keeps for a socket until it is read; 0 leaves it.
// The kernel takes the number for the payload and adds as much for its own.
func setReceiveBuffer(raw syscall.RawConn, bytes int) error {
	if bytes <= 0 {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "set the receive buffer")
}
