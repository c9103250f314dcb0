// Package routing finds the route of a request and the order of the upstreams that may serve it. It knows nothing of
// loads, owners or connections.
package routing

import (
	"slices"
	"strings"

	"github.com/orioleusher/orioleusher/internal/document"
)

// Match returns the route with the longest path prefix that allows the method, or nil. The second result says whether
// any route has the path.
func Match(snap *document.Snapshot, method, path string) (*document.Route, bool) {
	var found *document.Route
	known := false
	for i := range snap.Routes {
		r := &snap.Routes[i]
		if !hasPrefix(path, r.Path) {
			continue
		}
		known = true
		if slices.Contains(r.Methods, method) && (found == nil || len(r.Path) > len(found.Path)) {
			found = r
		}
	}
	return found, known
}

// hasPrefix reports whether path is prefix or lies below it.
func hasPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
