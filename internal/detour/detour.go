// Package detour lets a host that is cut off from the upstreams send requests through another host that reaches them.
//
// The other host forwards one attempt to the upstream that the sender has chosen, over a connection of its own, and decides nothing
// else: retries, limits, budgets and the outcome stay with the host that took the request from the caller. Each attempt passes one
// other host at most.
package detour

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// header is the name of the header that carries an Order to the other host, and a Report back.
const header = "Oriole-Detour"

// Order tells the other host which upstream is to receive the request.
type Order struct {
	Service     string `json:"service"`
	Upstream    string `json:"upstream"`
	Address     string `json:"address"`
	StartedAtMs int64  `json:"started_at_ms,omitempty"`
	// Version is the upstream's software version as the sender knows it.
	Version string `json:"version,omitempty"`
	// TimeoutMs is how long the attempt may take.
	TimeoutMs int64 `json:"timeout_ms"`
	// ProveVersion is set if the request may only be sent to a process that is proven to have the published software version.
	ProveVersion bool `json:"prove_version,omitempty"`
	// UnusedConn is set if the request may not be sent on a connection that has carried one: on that a copy of the response to an
	// earlier send may still arrive.
	UnusedConn bool `json:"unused_conn,omitempty"`
	// Probe is set if nothing is to be sent: the report says whether the upstream refuses connections.
	Probe bool `json:"probe,omitempty"`
}

// NewOrder returns the order to send a request to the upstream within the timeout.
func NewOrder(u *catalog.Upstream, timeout time.Duration) Order {
	return Order{Service: u.Service, Upstream: u.ID, Address: u.Address, StartedAtMs: u.StartedAtMs, Version: u.Version, TimeoutMs: max(1, timeout.Milliseconds())}
}

// Key identifies the incarnation of the upstream.
func (o Order) Key() catalog.UpstreamKey {
	return catalog.UpstreamKey{ID: o.Upstream, Address: o.Address, StartedAtMs: o.StartedAtMs}
}

// Timeout is how long the attempt may take.
func (o Order) Timeout() time.Duration { return time.Duration(o.TimeoutMs) * time.Millisecond }

// Outcome is what became of the attempt at the other host.
type Outcome string

// Outcomes.
const (
	// Relayed means that the response is the upstream's.
	Relayed Outcome = "relayed"
	// PeerRefused means that the other host takes no detours now. Nothing was sent to the upstream.
	PeerRefused Outcome = "peer-refused"
	// NotSent means that the upstream cannot receive the request now. Nothing was sent to it.
	NotSent Outcome = "not-sent"
	// Unknown means that the request was sent and no response was received.
	Unknown Outcome = "unknown"
	// Accepts and Refuses are the outcomes of a probe: whether the upstream's machine refuses connections.
	Accepts Outcome = "accepts"
	Refuses Outcome = "refuses"
)

// Reason is why an attempt brought no response of the upstream.
type Reason string

// Reasons of PeerRefused.
const (
	// ReasonCutOff is that of a host that is cut off itself, ReasonBusy that of one whose memory for detours is used up.
	ReasonCutOff   Reason = "cut-off"
	ReasonBusy     Reason = "busy"
	ReasonStopping Reason = "stopping"
)

// Reasons of NotSent and Unknown.
const (
	ReasonConnectFailed Reason = "connect-failed"
	ReasonUpstreamLeft  Reason = "upstream-left"
	// ReasonUnproven is that of an upstream whose software version is not proven, if the request needs that.
	ReasonUnproven   Reason = "unproven"
	ReasonNoResponse Reason = "no-response"
	// ReasonHostLeft is for the log: the host that sent the order has closed its connection.
	ReasonHostLeft Reason = "host-left"
)

// Report is what the other host tells about the attempt.
type Report struct {
	Outcome Outcome `json:"outcome"`
	// Reason says why the request was not sent, or no response received.
	Reason Reason `json:"reason,omitempty"`
	// ServedMs is how long the process that responded has served for certain.
	ServedMs int64 `json:"served_ms,omitempty"`
}

// Served is how long the process that responded has served for certain.
func (r Report) Served() time.Duration { return time.Duration(r.ServedMs) * time.Millisecond }

// SetOrder adds the order to the headers of a request.
func SetOrder(h http.Header, o Order) error { return set(h, o) }

// SetReport adds the report to the headers of a response.
func SetReport(h http.Header, r Report) error { return set(h, r) }

// TakeOrder removes the order from the headers of a request and returns it.
func TakeOrder(h http.Header) (Order, error) { return take[Order](h) }

// TakeReport removes the report from the headers of a response and returns it.
func TakeReport(h http.Header) (Report, error) { return take[Report](h) }

// HasOrder reports whether the headers of a request have an order.
func HasOrder(h http.Header) bool { return h.Get(header) != "" }

// HasReport reports whether the headers of a response have a report, and so come from another host.
func HasReport(h http.Header) bool { return h.Get(header) != "" }

func set(h http.Header, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode header %s", header)
	}
	h.Set(header, string(text))
	return nil
}

func take[T any](h http.Header) (T, error) {
	var value T
	text := h.Get(header)
	h.Del(header)
	return value, errors.Wrapf(json.Unmarshal([]byte(text), &value), "decode header %s %.100q", header, text)
}
