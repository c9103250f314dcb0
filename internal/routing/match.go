// Package routing finds the route of a request and the order of the upstreams that may serve it. It is independent of
// loads, owners and connections.
package routing

import (
	"slices"
	"strings"

	"github.com/orioleusher/orioleusher/internal/document"
)

// Match returns the route with the longest path prefix that allows the method, or nil. The second result reports
// whether any route matches the path.
func Match(snap *document.Snapshot, method, path string) (*document.Route, bool) {
	var found *document.Route
	pathMatched := false
	for i := range snap.Routes {
		r := &snap.Routes[i]
		if !hasPrefix(path, r.Path) {
			continue
		}
		pathMatched = true
		if slices.Contains(r.Methods, method) && (found == nil || len(r.Path) > len(found.Path)) {
			found = r
		}
	}
	return found, pathMatched
}

// hasPrefix reports whether path equals prefix or is below it.
func hasPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
