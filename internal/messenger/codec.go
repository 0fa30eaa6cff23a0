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

// WriteTimeout bounds one write. Without it, a write to an unreachable VM would block all calls on the connection once the
// kernel's send buffer is full.
const WriteTimeout = time.Second

// bufferSize is the size of the read buffer and of the write buffer of a connection in bytes. A reply with 10 hits of 400 bytes
// fits into it.
const bufferSize = 8 << 10

// wireCodec creates the net/rpc codecs of one encoding. All entry VMs must use the same encoding.
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

// bufferedConn is a connection with buffered reads and writes. The codec flushes it once per message; WriteTimeout bounds each
// write to the connection.
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

// gobRPCCodec is a net/rpc codec for gob. It exists because the stamps need a codec to wrap and the standard library exports its
// gob codec neither for the server nor for the client.
type gobRPCCodec struct {
	conn *bufferedConn
	enc  *gob.Encoder
	dec  *gob.Decoder
}

func newGobCodec(c net.Conn) *gobRPCCodec {
	b := newBufferedConn(c)
	return &gobRPCCodec{
		conn: b,
		enc:  gob.NewEncoder(b),
		dec:  gob.NewDecoder(b),
	}
}

func (g *gobRPCCodec) WriteRequest(r *rpc.Request, body any) error {
	return g.write(r, body)
}

func (g *gobRPCCodec) WriteResponse(r *rpc.Response, body any) error {
	return g.write(r, body)
}

func (g *gobRPCCodec) write(header, body any) error {
	err := g.enc.Encode(header)
	if err == nil {
		err = g.enc.Encode(body)
	}
	if err == nil {
		err = g.conn.Flush()
	}
	if err != nil {
		// The stream may end within a message, so no further message can be sent.
		_ = g.conn.Close()
	}
	return err
}

func (g *gobRPCCodec) ReadRequestHeader(r *rpc.Request) error {
	return g.dec.Decode(r)
}

func (g *gobRPCCodec) ReadRequestBody(body any) error {
	return g.dec.Decode(body)
}

func (g *gobRPCCodec) ReadResponseHeader(r *rpc.Response) error {
	return g.dec.Decode(r)
}

func (g *gobRPCCodec) ReadResponseBody(body any) error {
	return g.dec.Decode(body)
}

func (g *gobRPCCodec) Close() error {
	return g.conn.Close()
}

var _ io.ReadWriteCloser = (*bufferedConn)(nil)
