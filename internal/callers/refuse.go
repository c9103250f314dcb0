package callers

import (
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"strconv"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// errorBody is the JSON body of every refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code           string          `json:"code"`
	Message        string          `json:"message"`
	Step           string          `json:"step"`
	Peer           string          `json:"peer,omitempty"`
	Outcome        outcome.Outcome `json:"outcome"`
	Earlier        outcome.Earlier `json:"earlier,omitempty"`
	IdempotencyKey string          `json:"idempotency_key,omitempty"`
	Trace          string          `json:"trace"`
}

func (h *Handler) refuse(w http.ResponseWriter, x *exchange.Exchange, err error) {
	h.refusals.Inc(1)
	r := exchange.AsRefusal(err)
	h.log.Info().Str("event", "refusal").Str("trace", x.TraceID).Str("team", x.TeamName()).Str("step", r.Step).
		Str("peer", r.Peer).Str("code", r.Code).Str("outcome", string(r.Outcome)).AnErr("cause", r.Cause).Send()
	WriteRefusal(w, x.TraceID, r)
}

// WriteRefusal writes a refusal to a caller.
func WriteRefusal(w http.ResponseWriter, trace string, r *outcome.Refusal) {
	header, body := encodeRefusal(trace, r)
	maps.Copy(w.Header(), header)
	w.WriteHeader(r.Status)
	// An error means that the caller has disconnected and cannot receive the refusal.
	_, _ = w.Write(body)
}

// encodeRefusal returns the headers and the body of the response to a refused request.
func encodeRefusal(trace string, r *outcome.Refusal) (http.Header, []byte) {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(outcome.HeaderOutcome, string(r.Outcome))
	header.Set(outcome.HeaderTrace, trace)
	if r.Earlier != "" {
		header.Set(outcome.HeaderEarlier, string(r.Earlier))
	}
	if r.IdempotencyKey != "" {
		header.Set(outcome.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Code: r.Code, Message: r.Message, Step: r.Step, Peer: r.Peer, Outcome: r.Outcome, Earlier: r.Earlier,
		IdempotencyKey: r.IdempotencyKey, Trace: trace,
	}})
	if err != nil {
		body = []byte(`{}`)
	}
	return header, append(body, '\n')
}
