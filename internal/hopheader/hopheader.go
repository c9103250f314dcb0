// Package hopheader removes the headers that concern one connection only and are never passed on.
package hopheader

import (
	"net/http"
	"strings"
)

var names = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// Drop removes them from header, those too that the Connection header names.
func Drop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range names {
		header.Del(name)
	}
}
