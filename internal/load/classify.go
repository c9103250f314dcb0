package load

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/orioleusher/orioleusher/internal/load/arrivals"
	"github.com/orioleusher/orioleusher/internal/load/report"
	"github.com/orioleusher/orioleusher/internal/record"
)

// endStatus classifies the result of a request by its last attempt.
func endStatus(req *arrivals.Request, last *attempt) report.EndStatus {
	switch {
	case last.rateRefused():
		return report.RateRefused
	case last.notRun():
		return report.Refused
	case last.err != nil || last.result.Status >= http.StatusBadRequest:
		return report.Failed
	case !isComplete(req, last.result):
		return report.Truncated
	case expectedDigest(req) != "" && expectedDigest(req) != responseDigest(req, last.result):
		return report.Wrong
	default:
		return report.OK
	}
}

// isComplete reports whether the response was received in full: for a chat, the stream must also end with the [DONE]
// event.
func isComplete(req *arrivals.Request, result *Result) bool {
	if req.Chat == nil {
		return result.Complete
	}
	_, done := StreamText(result.Body)
	return result.Complete && done
}

// expectedDigest returns the digest of the expected response text, or an empty string if any response is correct.
func expectedDigest(req *arrivals.Request) string {
	if req.Chat == nil {
		return ""
	}
	return digest(req.Chat.ExpectedText)
}

func responseDigest(req *arrivals.Request, result *Result) string {
	if req.Chat == nil {
		return digest(string(result.Body))
	}
	text, _ := StreamText(result.Body)
	return digest(text)
}

func digest(text string) string { return strconv.FormatUint(xxhash.Sum64String(text), 16) }

func routeName(req *arrivals.Request) string {
	if req.Chat != nil {
		return "chat"
	}
	return req.Call.Route
}

// summariseRequest summarises the attempts of a request for the report. Times are relative to the start of the run.
func (r *run) summariseRequest(req *arrivals.Request, attempts []attempt) report.CompletedRequest {
	last := &attempts[len(attempts)-1]
	summary := report.CompletedRequest{
		Team: req.Team, Route: routeName(req), Status: endStatus(req, last), Due: req.Due, Sent: last.sent.Sub(r.start),
		End: last.done.Sub(r.start), Attempts: retryCount(attempts) + 1,
	}
	if last.err != nil {
		return summary
	}
	summary.FirstByte = last.firstByte().Sub(r.start)
	summary.Code = last.result.Code
	if req.Chat == nil || summary.Status != report.OK {
		return summary
	}
	if usage := StreamUsage(last.result.Body); usage != nil {
		summary.Blocks = report.PromptBlocks(req.Chat.Messages)
		summary.PromptTokens = usage.PromptTokens
		summary.CachedTokens = usage.PromptDetails.CachedTokens
	}
	return summary
}

// retryCount returns the number of attempts after the first. An attempt whose response only issues an idempotency key is
// not counted.
func retryCount(attempts []attempt) int {
	count := -1
	for i := range attempts {
		if !attempts[i].keyIssued() {
			count++
		}
	}
	return max(0, count)
}

func (r *run) callRecord(req *arrivals.Request, number int, a *attempt) record.Line {
	c := &record.Call{
		ID: req.ID, Attempt: number, Team: req.Team, Route: routeName(req), Host: a.call.Address,
		Scheduled: r.start.Add(req.Due), Sent: a.sent, FirstByte: a.firstByte(), Done: a.done,
		IdempotencyKey: a.call.IdempotencyKey, Admitted: a.admitted(),
	}
	if req.Call != nil && req.Call.AtMostOnce {
		c.Body = string(a.call.Body)
	}
	if a.err != nil {
		c.Error = a.err.Error()
		return record.Line{Kind: record.KindCall, Call: c}
	}
	c.Status, c.Code, c.Outcome = a.result.Status, a.result.Code, string(a.result.Outcome)
	c.Trace, c.Upstream = a.result.Trace, a.result.Upstream
	if a.result.Status < http.StatusBadRequest {
		c.Complete, c.ExpectedDigest, c.ResponseDigest = isComplete(req, a.result), expectedDigest(req), responseDigest(req, a.result)
	}
	return record.Line{Kind: record.KindCall, Call: c}
}
