package route

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to one connection and are not forwarded. Expect is among
// them because the router reads the complete body before it sends the request.
//
// Source: RFC 9110, section 7.6.1; RFC 2616, section 13.5.1.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEndHeaders copies the headers that are forwarded. The map has space for
// spareFields more fields.
func endToEndHeaders(header http.Header, spareFields int) http.Header {
	copied := make(http.Header, len(header)+spareFields)
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
