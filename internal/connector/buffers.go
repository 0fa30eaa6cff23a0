package connector

import (
	"errors"
	"sync/atomic"
)

const (
	// MaxBufferedBytes limits the bytes of incomplete responses that the connections of an HTTPDialer hold together. The smallest
	// VMs have 184 MB, and the buffers of bodies may be twice as large as their contents.
	MaxBufferedBytes = 16 << 20
	// GuaranteedBytes is the size up to which a response may always be read. It is larger than the response of a shard, so that
	// servers that send without end do not make the responses of others fail.
	GuaranteedBytes = 256 << 10
)

// maxReadBytes limits one read, so that waiting for a response reserves few bytes.
const maxReadBytes = 32 << 10

var errBufferLimit = errors.New("too many bytes of incomplete responses are buffered")

// bufferLimit counts the bytes of incomplete responses.
type bufferLimit struct {
	held atomic.Int64
	// most is the highest value of held.
	most atomic.Int64
}

// bufferCount is the part of a bufferLimit that one exchange holds.
type bufferCount struct {
	limit *bufferLimit
	held  int64
}

// reserve counts n bytes before they are received. It returns errBufferLimit, and counts nothing, if the exchange must end.
func (b *bufferCount) reserve(n int) error {
	total := b.limit.held.Add(int64(n))
	if b.held+int64(n) > GuaranteedBytes && total > MaxBufferedBytes {
		b.limit.held.Add(-int64(n))
		return errBufferLimit
	}
	b.held += int64(n)
	for most := b.limit.most.Load(); total > most && !b.limit.most.CompareAndSwap(most, total); {
		most = b.limit.most.Load()
	}
	return nil
}

// giveBack ends the reservation of n bytes that were not received.
func (b *bufferCount) giveBack(n int) {
	b.held -= int64(n)
	b.limit.held.Add(-int64(n))
}

// release ends the exchange, whose bytes are no longer counted.
func (b *bufferCount) release() {
	b.giveBack(int(b.held))
}
