package connector

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrUnexpectedData means that an idle connection has received bytes.
var ErrUnexpectedData = errors.New("unexpected data on an idle connection")

// stream is a net.Conn that counts the bytes written and records the first network error. The error distinguishes a failed
// connection from a response that cannot be parsed. Read and Write are called from one goroutine at a time; Close may be
// called from another.
type stream struct {
	net.Conn
	// raw is nil if the connection does not provide access to its file descriptor.
	raw          syscall.RawConn
	bytesWritten int
	firstErr     error
	// buffered counts the bytes received in the current exchange.
	buffered bufferCount
}

func newStream(c net.Conn, limit *bufferLimit) *stream {
	s := &stream{
		Conn: c,
		buffered: bufferCount{
			limit: limit,
		},
	}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			s.raw = raw
		}
	}
	return s
}

func (s *stream) Read(p []byte) (int, error) {
	p = p[:min(len(p), maxReadBytes)]
	if err := s.buffered.reserve(len(p)); err != nil {
		return 0, err
	}
	n, err := s.Conn.Read(p)
	s.buffered.giveBack(len(p) - n)
	s.recordError(err)
	return n, err
}

func (s *stream) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.bytesWritten += n
	s.recordError(err)
	return n, err
}

func (s *stream) recordError(err error) {
	if s.firstErr == nil {
		s.firstErr = err
	}
}

// checkIdle returns an error if the peer has closed the idle connection or has sent bytes on it. It does not block. A
// request that is not written because of such an error has certainly not run.
func (s *stream) checkIdle() error {
	if s.raw == nil {
		return nil
	}
	return CheckIdle(s.raw)
}

// CheckIdle returns an error if the peer has closed the connection (io.EOF for an orderly close) or if unread bytes have been
// received (ErrUnexpectedData). It neither blocks nor consumes bytes, and read deadlines do not apply to it.
func CheckIdle(c syscall.RawConn) error {
	var n int
	var peekErr error
	err := c.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
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

// SmoothedRTT returns the kernel's smoothed round-trip time of a TCP connection, to the microsecond.
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
