package messenger

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"time"

	"github.com/ugorji/go/codec"
)

// WriteTimeout bounds one write, because a write to an unreachable VM blocks all calls on the connection once the kernel's
// buffer is full.
const WriteTimeout = time.Second

// bufferSize is the size of the read and the write buffer of a connection in bytes; a reply with 10 hits of 400 bytes fits.
const bufferSize = 8 << 10

// wireCodec makes the codecs of one encoding. All entry VMs must use the same.
type wireCodec struct {
	name   string
	server func(net.Conn) rpc.ServerCodec
	client func(net.Conn) rpc.ClientCodec
}

var gobCodec = wireCodec{
	name: "gob",
	server: func(c net.Conn) rpc.ServerCodec {
		return newGobCodec(c)
	},
	client: func(c net.Conn) rpc.ClientCodec {
		return newGobCodec(c)
	},
}

var msgpackCodec = wireCodec{
	name: "msgpack",
	server: func(c net.Conn) rpc.ServerCodec {
		return codec.GoRpc.ServerCodec(newBufferedConn(c), msgpackHandle())
	},
	client: func(c net.Conn) rpc.ClientCodec {
		return codec.GoRpc.ClientCodec(newBufferedConn(c), msgpackHandle())
	},
}

// defaultCodec is the encoding between entry VMs.
var defaultCodec = gobCodec

func msgpackHandle() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.WriteExt = true
	return h
}

// bufferedConn flushes once per message and bounds each flush by WriteTimeout.
type bufferedConn struct {
	*bufio.Reader
	w    *bufio.Writer
	conn net.Conn
}

func newBufferedConn(c net.Conn) *bufferedConn {
	return &bufferedConn{
		Reader: bufio.NewReaderSize(c, bufferSize),
		w:      bufio.NewWriterSize(deadlineWriter{c}, bufferSize),
		conn:   c,
	}
}

func (b *bufferedConn) Write(p []byte) (int, error) {
	return b.w.Write(p)
}

func (b *bufferedConn) Flush() error {
	return b.w.Flush()
}

func (b *bufferedConn) Close() error {
	return b.conn.Close()
}

type deadlineWriter struct {
	net.Conn
}

func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	return w.Conn.Write(p)
}

// gobWire is gob under net/rpc. The standard library exports its own gob codec neither for the server nor for the client, and
// the stamps need a codec to wrap.
type gobWire struct {
	conn *bufferedConn
	enc  *gob.Encoder
	dec  *gob.Decoder
}

func newGobCodec(c net.Conn) *gobWire {
	b := newBufferedConn(c)
	return &gobWire{
		conn: b,
		enc:  gob.NewEncoder(b),
		dec:  gob.NewDecoder(b),
	}
}

func (g *gobWire) WriteRequest(r *rpc.Request, body any) error {
	return g.write(r, body)
}

func (g *gobWire) WriteResponse(r *rpc.Response, body any) error {
	return g.write(r, body)
}

func (g *gobWire) write(header, body any) error {
	err := g.enc.Encode(header)
	if err == nil {
		err = g.enc.Encode(body)
	}
	if err == nil {
		err = g.conn.Flush()
	}
	if err != nil {
		// The stream may end within a message, so nothing can follow.
		_ = g.conn.Close()
	}
	return err
}

func (g *gobWire) ReadRequestHeader(r *rpc.Request) error {
	return g.dec.Decode(r)
}

func (g *gobWire) ReadRequestBody(body any) error {
	return g.dec.Decode(body)
}

func (g *gobWire) ReadResponseHeader(r *rpc.Response) error {
	return g.dec.Decode(r)
}

func (g *gobWire) ReadResponseBody(body any) error {
	return g.dec.Decode(body)
}

func (g *gobWire) Close() error {
	return g.conn.Close()
}

var _ io.ReadWriteCloser = (*bufferedConn)(nil)
