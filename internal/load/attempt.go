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

// retryDelay is the delay before the second attempt. It grows linearly with the number of attempts.
const retryDelay = 50 * time.Millisecond

// attempt is one attempt of a request: the call that was sent and its result.
type attempt struct {
	call   Call
	sent   time.Time
	done   time.Time
	result *Result
	err    error
}

// notRun reports whether the request can be retried safely: either the response states that the request was not run, or
// no connection was established.
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

// keyIssued reports whether the response only issues an idempotency key.
func (a *attempt) keyIssued() bool {
	return a.err == nil && a.result.Status == http.StatusPreconditionRequired && a.result.IdempotencyKey != ""
}

// countsAgainstRate reports whether the attempt may count against the team's rate limit.
func (a *attempt) countsAgainstRate() bool {
	if a.call.Key == "" {
		return false
	}
	if a.err != nil {
		return !a.notRun()
	}
	return a.result.Status != http.StatusUnauthorized && a.result.Status != http.StatusForbidden
}

// admitted reports whether the response shows that the attempt was admitted by the team's rate limit.
func (a *attempt) admitted() bool {
	return a.call.Key != "" && a.err == nil && (a.result.Outcome == outcome.Run || a.keyIssued())
}

func (a *attempt) firstByte() time.Time {
	if a.err != nil {
		return time.Time{}
	}
	return a.sent.Add(a.result.FirstByte)
}

// sendRequest sends the request and retries it until an attempt is final or the attempts are used up. A call that may
// not be repeated first requests its idempotency key, which the first response issues.
func (r *run) sendRequest(ctx context.Context, req *arrivals.Request) []attempt {
	call := r.buildCall(req)
	var attempts []attempt
	host := ""
	for len(attempts) < r.options.Scenario.Attempts {
		host = r.balancer.Pick(host)
		call.Address = host
		a := r.sendAttempt(ctx, call)
		attempts = append(attempts, a)
		if a.keyIssued() && call.IdempotencyKey == "" {
			call.IdempotencyKey = a.result.IdempotencyKey
			a = r.sendAttempt(ctx, call)
			attempts = append(attempts, a)
		}
		if !shouldRetry(req, &a) || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Duration(len(attempts)) * retryDelay)
	}
	return append(attempts, r.sendRepeats(ctx, req, call)...)
}

// shouldRetry reports whether the caller retries the request: if it was not run, or if its outcome is unknown, it has an
// idempotency key that makes a repeat safe, and the scenario requests repeats.
func shouldRetry(req *arrivals.Request, a *attempt) bool {
	if a.rateRefused() {
		return false
	}
	if a.notRun() {
		return true
	}
	outcomeUnknown := a.err != nil || a.result.Outcome == outcome.Unknown
	return outcomeUnknown && a.call.IdempotencyKey != "" && req.Call.Repeats > 0
}

// sendRepeats sends a call that has an idempotency key as many more times as the scenario specifies, avoiding the host
// of the previous attempt each time.
func (r *run) sendRepeats(ctx context.Context, req *arrivals.Request, call Call) []attempt {
	if req.Call == nil || call.IdempotencyKey == "" {
		return nil
	}
	var attempts []attempt
	for range req.Call.Repeats {
		call.Address = r.balancer.Pick(call.Address)
		attempts = append(attempts, r.sendAttempt(ctx, call))
	}
	return attempts
}

func (r *run) sendAttempt(ctx context.Context, call Call) attempt {
	a := attempt{call: call, sent: time.Now()}
	a.result, a.err = r.caller.Do(ctx, call)
	a.done = time.Now()
	return a
}

// buildCall returns the HTTP request to send, without its address.
func (r *run) buildCall(req *arrivals.Request) Call {
	key := r.teamKeys[req.Team]
	if req.Chat != nil {
		// Encoding a struct of strings and numbers as JSON cannot fail.
		body, _ := ChatBody(r.options.Callers.Model, req.Chat.Messages, true, r.options.Scenario.Chat.AnswerTokens)
		return Call{Method: http.MethodPost, Path: r.options.Scenario.Chat.Path, Key: key, ChatID: req.Chat.ID, Body: body}
	}
	call := Call{Method: req.Call.Method, Path: req.Call.Path, Key: key}
	if req.Call.AllowsAnonymous {
		call.Key = ""
	}
	if req.Call.AtMostOnce {
		call.Body = fmt.Appendf(nil, "{\"number\":\"%s-%d-%d\"}", r.options.Label, r.start.UnixNano(), req.ID)
	}
	return call
}
