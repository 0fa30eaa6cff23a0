// Package replayer serves responses byte for byte, among them malformed ones, to the tests of clients.
package replayer

import (
	"bufio"
	_ "embed" // The responses are embedded, so that the tests of all packages find them.
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
)

//go:embed testdata/responses.txt
var file string

// Response is a line of testdata/responses.txt.
type Response struct {
	// Name describes the response. It is unique.
	Name string
	// Bytes are sent after each request. They may contain FieldMark.
	Bytes string
	// Closes is true if the server closes the connection after the response.
	Closes bool
	// Malformed is true if clients have to reject the response. The fields below are then unset.
	Malformed bool
	Status    int
	Body      string
	// Reusable is true if clients may send another request on the connection.
	Reusable bool
	// Field is a field line that the response has to contain, or "".
	Field string
}

// FieldMark is the place in Response.Bytes where Serve inserts a field line.
const FieldMark = "<F>"

// closeMark ends the bytes of a response after which the server closes the connection.
const closeMark = "<EOF>"

// Responses returns all responses of the file.
func Responses() ([]Response, error) {
	var list []Response
	for line := range strings.Lines(file) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		r, err := parse(line)
		if err != nil {
			return nil, fmt.Errorf("%q: %w", line, err)
		}
		list = append(list, r)
	}
	return list, nil
}

// parse parses a line "name | bytes | result | field". The result is "malformed", or the status, the body and optionally "close",
// which means that the connection is not reusable. The field is optional.
func parse(line string) (Response, error) {
	columns := strings.Split(line, " | ")
	if len(columns) != 3 && len(columns) != 4 {
		return Response{}, fmt.Errorf("%d columns instead of 3 or 4", len(columns))
	}
	data, err := strconv.Unquote(`"` + strings.TrimSpace(columns[1]) + `"`)
	if err != nil {
		return Response{}, err
	}
	r := Response{
		Name: strings.TrimSpace(columns[0]),
	}
	r.Bytes, r.Closes = strings.CutSuffix(data, closeMark)
	result := strings.TrimSpace(columns[2])
	if result == "malformed" {
		r.Malformed = true
		return r, nil
	}
	result, closed := strings.CutSuffix(result, " close")
	r.Reusable = !closed
	status, body, _ := strings.Cut(result, " ")
	r.Body = body
	if len(columns) == 4 {
		r.Field = strings.TrimSpace(columns[3])
	}
	r.Status, err = strconv.Atoi(status)
	return r, err
}

// Server sends one response to every request.
type Server struct {
	listener net.Listener
	bytes    string
	closes   bool
}

// Serve starts a server on a free port of the loopback interface. It inserts the field, such as "Name: value", into the response
// unless it is empty.
func Serve(r Response, field string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if field != "" {
		field += lineEnd(r.Bytes)
	}
	s := &Server{
		listener: l,
		bytes:    strings.Replace(r.Bytes, FieldMark, field, 1),
		closes:   r.Closes,
	}
	go s.run()
	return s, nil
}

// lineEnd returns the end of the lines of a response.
func lineEnd(response string) string {
	if strings.Contains(response, "\r\n") {
		return "\r\n"
	}
	return "\n"
}

// Address returns the address at which the server listens.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops accepting connections.
func (s *Server) Close() error {
	return s.listener.Close()
}

func (s *Server) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.answer(c)
	}
}

func (s *Server) answer(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, s.bytes); err != nil || s.closes {
			return
		}
	}
}
