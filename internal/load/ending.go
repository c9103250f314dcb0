package load

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/orioleusher/orioleusher/internal/load/arrivals"
	"github.com/orioleusher/orioleusher/internal/load/report"
	"github.com/orioleusher/orioleusher/internal/record"
)

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
