package orderer

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the header fields that apply to a single connection (RFC 9110, section
// 7.6.1), and Expect, which is already satisfied once the body has been read.
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyEndToEnd copies all header fields except hop-by-hop fields.
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
