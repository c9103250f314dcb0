// Package hopheader removes hop-by-hop headers, which apply to one connection only and are never forwarded.
package hopheader

import (
	"net/http"
	"strings"
)

var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// Drop removes the hop-by-hop headers, including those that the Connection header names.
func Drop(header http.Header) { DropExcept(header, func(string) bool { return false }) }

// DropExcept removes the hop-by-hop headers. A name in the Connection header, in canonical form, is ignored if isEndToEnd
// reports that its header is intended for all recipients.
func DropExcept(header http.Header, isEndToEnd func(name string) bool) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !isEndToEnd(name) {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
