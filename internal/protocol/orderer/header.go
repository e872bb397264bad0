package orderer

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the header fields that concern one connection only (RFC 9110,
// section 7.6.1), and Expect, which is met once the body has been taken in.
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyEndToEnd copies the header fields that concern more than one connection.
func copyEndToEnd(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(to, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(to, name)
	}
}
