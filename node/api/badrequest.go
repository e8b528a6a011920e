package api

import "net"

// unparsedAnswer is the whole answer of net/http to a request that it cannot parse. It does not say why, and no handler
// is called. Answers of handlers differ from it: they have a date.
const unparsedAnswer = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n400 Bad Request"

// unparsedReason is added to unparsedAnswer.
const unparsedReason = ": the request cannot be parsed; check that the path begins with a slash, that each % in it is followed by two " +
	"hexadecimal digits, and that header lines have the form \"name: value\"\n"

// ExplainBadRequests returns a listener whose connections tell callers what may be wrong with a request that cannot be parsed.
func ExplainBadRequests(listener net.Listener) net.Listener { return &explainingListener{listener} }

type explainingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *explainingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &explainingConn{tcp}, err
	}
	return conn, err
}

// explainingConn keeps the methods of the TCP connection, which net/http and package sock use.
type explainingConn struct{ *net.TCPConn }

// Write implements net.Conn.
func (c *explainingConn) Write(p []byte) (int, error) {
	if string(p) != unparsedAnswer {
		return c.TCPConn.Write(p)
	}
	if _, err := c.TCPConn.Write(append(p[:len(p):len(p)], unparsedReason...)); err != nil {
		return 0, err
	}
	return len(p), nil
}
