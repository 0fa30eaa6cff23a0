package messenger

import (
	"context"
	"net/netip"
)

// Client calls methods of other entry VMs. It is safe for concurrent use.
type Client interface {
	// Call calls the method of the VM at addr with args and stores its result in reply, a pointer. The error is a
	// *classifier.Error with the code NotSent if the call certainly did not reach the VM, Timeout if ctx was done before the
	// reply, ConnectionReset if the connection broke, or the code that the method returned. A NotSent error wraps
	// syscall.ECONNREFUSED if the address refused the connection.
	Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error
}

// RecordPublisher propagates a soft-state record of this VM to the other entry VMs. The payload is a value of the record type of
// the kind. A later record with the same kind and key replaces an earlier one.
type RecordPublisher interface {
	Publish(kind RecordKind, key string, payload any) error
}
