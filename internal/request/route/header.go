package route

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to one connection and are not forwarded.
//
// Source: RFC 9110, section 7.6.1.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd copies the headers that are forwarded. Extra is the number of fields
// that the copy has space for in addition.
func endToEnd(header http.Header, extra int) http.Header {
	copied := make(http.Header, len(header)+extra)
	for name, values := range header {
		copied[name] = values
	}
	for _, options := range header["Connection"] {
		for name := range strings.SplitSeq(options, ",") {
			delete(copied, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(copied, name)
	}
	return copied
}
