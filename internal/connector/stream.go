package connector

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrUnexpectedData says that bytes wait on a connection that should be idle.
var ErrUnexpectedData = errors.New("the peer sent bytes that nobody asked for")

// stream counts the bytes that it writes and keeps the first error of the network, which tells a broken connection from an
// answer that cannot be parsed. Reads and writes come from one goroutine; Close may come from another.
type stream struct {
	net.Conn
	raw     syscall.RawConn
	written int
	err     error
}

func newStream(c net.Conn) *stream {
	s := &stream{
		Conn: c,
	}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			s.raw = raw
		}
	}
	return s
}

func (s *stream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.keep(err)
	return n, err
}

func (s *stream) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.written += n
	s.keep(err)
	return n, err
}

func (s *stream) keep(err error) {
	if s.err == nil {
		s.err = err
	}
}

// checkIdle returns an error if the peer has closed the idle connection or has sent bytes on it. It does not wait. A request
// that is not written to such a connection is certain not to run.
func (s *stream) checkIdle() error {
	if s.raw == nil {
		return nil
	}
	return CheckIdle(s.raw)
}

// CheckIdle returns an error if the peer has closed the connection (io.EOF for an orderly close) or if bytes wait on it
// (ErrUnsolicited). It neither waits nor takes bytes off the connection.
func CheckIdle(c syscall.RawConn) error {
	var n int
	var peekErr error
	err := c.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return err
	case errors.Is(peekErr, syscall.EAGAIN):
		return nil
	case peekErr != nil:
		return peekErr
	case n == 0:
		return io.EOF
	default:
		return ErrUnexpectedData
	}
}

// SmoothedRTT returns the smoothed round-trip time of a TCP connection as the kernel measures it.
func SmoothedRTT(c syscall.Conn) (time.Duration, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := errors.Join(err, infoErr); err != nil {
		return 0, err
	}
	return time.Duration(info.Rtt) * time.Microsecond, nil
}
