package messenger

import (
	"context"
	"net/netip"
)

// Client calls methods of other entry VMs. It is safe for concurrent use.
type Client interface {
	// Call sends args to the method of the VM at addr and fills reply, a pointer. The error is a *classifier.Error: NotSent when
	// the call certainly did not reach the VM (it wraps syscall.ECONNREFUSED when the address refused), Timeout when the
	// context ended, ConnectionReset when the connection broke, or the code that the method returned.
	Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error
}

// RecordPublisher spreads a soft-state record of this VM. The payload is the message type that the kind's comment names. A later
// record with the same kind and key replaces an earlier one.
type RecordPublisher interface {
	Publish(kind RecordKind, key string, payload any) error
}
