package watch

import (
	"context"
	"net/http"
)

// controlState is the part of a router state dump that counts the bytes on the connections that the router opened for
// control traffic.
type controlState struct {
	Control *struct {
		Sent     uint64 `json:"sent_bytes"`
		Received uint64 `json:"received_bytes"`
	} `json:"control"`
}

// ControlBytes returns the control bytes that a router has sent and received since its start. The flag is false if the
// state dump has no such counter or cannot be read.
func ControlBytes(ctx context.Context, admin string) (float64, bool) {
	var state controlState
	if err := readState(ctx, &http.Client{Timeout: stateTimeout}, admin, &state); err != nil || state.Control == nil {
		return 0, false
	}
	return float64(state.Control.Sent + state.Control.Received), true
}
