package listener

import (
	"net"
	"net/http"
)

// AbortAnswer aborts an incomplete answer so that the caller detects the truncation. It must
// be called by the handler of the request and does not return.
//
// A caller detects the truncation of an answer with a length or in chunks when the connection
// is closed. An answer to an HTTP/1.0 request or to one with "Connection: close" may be
// delimited by the close of the connection, which is therefore reset.
func AbortAnswer(w http.ResponseWriter, r *http.Request) {
	if endsWithConn(r) {
		resetConn(w)
	}
	panic(http.ErrAbortHandler)
}

// endsWithConn reports whether the end of the connection may complete the answer to the
// request.
func endsWithConn(r *http.Request) bool { return !r.ProtoAtLeast(1, 1) || r.Close }

// resetConn resets the connection of an answer.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		// The connection has ended, or its protocol multiplexes requests and delimits each
		// answer.
		return
	}
	resetOnClose(conn)
	// The connection is discarded, so an error of Close doesn't matter.
	_ = conn.Close()
}

// resetOnClose makes Close reset a TCP connection.
func resetOnClose(conn net.Conn) {
	if tcp, ok := innermost(conn).(*net.TCPConn); ok {
		// An error means that the caller has reset the connection.
		_ = tcp.SetLinger(0)
	}
}

// innermost returns the connection that other connections wrap.
func innermost(conn net.Conn) net.Conn {
	for {
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = wrapped.NetConn()
	}
}
