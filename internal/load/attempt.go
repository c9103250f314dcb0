package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/load/arrivals"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// resendPause is the wait before the second attempt; each later one waits longer by as much.
const resendPause = 50 * time.Millisecond

// attempt is one try of a request: what was sent and what came back.
type attempt struct {
	call   Call
	sent   time.Time
	done   time.Time
	result *Result
	err    error
}

// notRun reports whether the caller may send the request again: the answer says that it did not run, or no connection
// was made.
func (a *attempt) notRun() bool {
	if a.err == nil {
		return a.result.Outcome == outcome.NotRun
	}
	var op *net.OpError
	return errors.As(a.err, &op) && op.Op == "dial"
}

func (a *attempt) rateRefused() bool {
	return a.err == nil && a.result.Status == http.StatusTooManyRequests
}

// keyIssued reports whether the answer only hands out an idempotency key.
func (a *attempt) keyIssued() bool {
	return a.err == nil && a.result.Status == http.StatusPreconditionRequired && a.result.IdempotencyKey != ""
}

// charged reports whether the attempt may count against the team's rate.
func (a *attempt) charged() bool {
	if a.call.Key == "" {
		return false
	}
	if a.err != nil {
		return !a.notRun()
	}
	return a.result.Status != http.StatusUnauthorized && a.result.Status != http.StatusForbidden
}

// admitted reports whether the answer shows that the attempt was admitted against the team's rate.
func (a *attempt) admitted() bool {
	return a.call.Key != "" && a.err == nil && (a.result.Outcome == outcome.Run || a.keyIssued())
}

func (a *attempt) firstByte() time.Time {
	if a.err != nil {
		return time.Time{}
	}
	return a.sent.Add(a.result.FirstByte)
}

// send makes the request's attempts until one is final. A call that may not be repeated asks for its key first.
func (r *run) send(ctx context.Context, req *arrivals.Request) []attempt {
	call := r.call(req)
	var tries []attempt
	host := ""
	for len(tries) < r.o.Scenario.Attempts {
		host = r.balancer.Pick(host)
		call.Address = host
		a := r.try(ctx, call)
		tries = append(tries, a)
		if a.keyIssued() && call.IdempotencyKey == "" {
			call.IdempotencyKey = a.result.IdempotencyKey
			a = r.try(ctx, call)
			tries = append(tries, a)
		}
		if !again(req, &a) || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Duration(len(tries)) * resendPause)
	}
	return append(tries, r.repeat(ctx, req, call)...)
}

// again reports whether the caller sends the request once more: if it did not run, or if it has a key with which a
// repeat is safe and the scenario wants repeats.
func again(req *arrivals.Request, a *attempt) bool {
	if a.rateRefused() {
		return false
	}
	if a.notRun() {
		return true
	}
	doubtful := a.err != nil || a.result.Outcome == outcome.Unknown
	return doubtful && a.call.IdempotencyKey != "" && req.Call.Repeats > 0
}

// repeat sends a call that has its key again, as often as the scenario wants, each time to another host.
func (r *run) repeat(ctx context.Context, req *arrivals.Request, call Call) []attempt {
	if req.Call == nil || call.IdempotencyKey == "" {
		return nil
	}
	var tries []attempt
	for range req.Call.Repeats {
		call.Address = r.balancer.Pick(call.Address)
		tries = append(tries, r.try(ctx, call))
	}
	return tries
}

func (r *run) try(ctx context.Context, call Call) attempt {
	a := attempt{call: call, sent: time.Now()}
	a.result, a.err = r.caller.Do(ctx, call)
	a.done = time.Now()
	return a
}

// call builds the request's call, without its address.
func (r *run) call(req *arrivals.Request) Call {
	key := r.keys[req.Team]
	if req.Chat != nil {
		// Encoding strings and numbers cannot fail.
		body, _ := ChatBody(r.o.Callers.Model, req.Chat.Messages, true, r.o.Scenario.Chat.AnswerTokens)
		return Call{Method: http.MethodPost, Path: r.o.Scenario.Chat.Path, Key: key, ChatID: req.Chat.ID, Body: body}
	}
	call := Call{Method: req.Call.Method, Path: req.Call.Path, Key: key}
	if req.Call.Open {
		call.Key = ""
	}
	if req.Call.Once {
		call.Body = fmt.Appendf(nil, "{\"number\":\"%s-%d-%d\"}", r.o.Label, r.start.UnixNano(), req.ID)
	}
	return call
}
