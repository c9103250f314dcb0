package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/load/arrivals"
	"github.com/orioleusher/orioleusher/internal/load/report"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/record"
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

// ending says how the request ended for its caller.
func ending(req *arrivals.Request, last *attempt) report.Ending {
	switch {
	case last.rateRefused():
		return report.RateRefused
	case last.notRun():
		return report.Refused
	case last.err != nil || last.result.Status >= http.StatusBadRequest:
		return report.Failed
	case !whole(req, last.result):
		return report.Cut
	case want(req) != "" && want(req) != got(req, last.result):
		return report.Wrong
	default:
		return report.OK
	}
}

// whole reports whether the answer ended as a whole answer of its kind does.
func whole(req *arrivals.Request, result *Result) bool {
	if req.Chat == nil {
		return result.Whole
	}
	_, done := StreamText(result.Body)
	return result.Whole && done
}

// want is the digest of the right answer, or empty where any is right.
func want(req *arrivals.Request) string {
	if req.Chat == nil {
		return ""
	}
	return digest(req.Chat.Answer)
}

func got(req *arrivals.Request, result *Result) string {
	if req.Chat == nil {
		return digest(string(result.Body))
	}
	text, _ := StreamText(result.Body)
	return digest(text)
}

func digest(text string) string { return strconv.FormatUint(xxhash.Sum64String(text), 16) }

func routeOf(req *arrivals.Request) string {
	if req.Chat != nil {
		return "chat"
	}
	return req.Call.Route
}

// finished sums the attempts up for the report. Times are counted from the start of the run.
func (r *run) finished(req *arrivals.Request, tries []attempt) report.Finished {
	last := &tries[len(tries)-1]
	f := report.Finished{
		Team: req.Team, Route: routeOf(req), Ending: ending(req, last), Due: req.Due, Sent: last.sent.Sub(r.start),
		End: last.done.Sub(r.start), Attempts: resends(tries) + 1,
	}
	if last.err != nil {
		return f
	}
	f.FirstByte = last.firstByte().Sub(r.start)
	f.Code = last.result.Code
	if req.Chat == nil || f.Ending != report.OK {
		return f
	}
	if usage := StreamUsage(last.result.Body); usage != nil {
		f.Blocks = report.PromptBlocks(req.Chat.Messages)
		f.PromptTokens = usage.PromptTokens
		f.CachedTokens = usage.PromptDetails.CachedTokens
	}
	return f
}

// resends counts the attempts after the first; the answer that hands out a key is none.
func resends(tries []attempt) int {
	count := -1
	for i := range tries {
		if !tries[i].keyIssued() {
			count++
		}
	}
	return max(0, count)
}

func (r *run) recordOf(req *arrivals.Request, number int, a *attempt) record.Line {
	c := &record.Call{
		ID: req.ID, Attempt: number, Team: req.Team, Route: routeOf(req), Host: a.call.Address,
		Scheduled: r.start.Add(req.Due), Sent: a.sent, FirstByte: a.firstByte(), Done: a.done,
		IdempotencyKey: a.call.IdempotencyKey, Admitted: a.admitted(),
	}
	if req.Call != nil && req.Call.Once {
		c.Body = string(a.call.Body)
	}
	if a.err != nil {
		c.Error = a.err.Error()
		return record.Line{Kind: record.KindCall, Call: c}
	}
	c.Status, c.Code, c.Outcome = a.result.Status, a.result.Code, string(a.result.Outcome)
	c.Trace, c.Upstream = a.result.Trace, a.result.Upstream
	if a.result.Status < http.StatusBadRequest {
		c.Whole, c.Want, c.Got = whole(req, a.result), want(req), got(req, a.result)
	}
	return record.Line{Kind: record.KindCall, Call: c}
}
