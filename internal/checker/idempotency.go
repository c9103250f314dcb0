package checker

import "github.com/orioleusher/orioleusher/internal/record"

// checkAtMostOnce checks that the services ran each idempotency key, and each operation of a caller, at most once.
func checkAtMostOnce(r *records) Report {
	report := Report{Promise: AtMostOnce}
	keys := map[string]*record.Run{}
	bodies := map[string]*record.Run{}
	for _, v := range r.runs {
		if v.IdempotencyKey == "" {
			continue
		}
		report.Examined++
		if first := keys[v.IdempotencyKey]; first != nil {
			report.addViolation("idempotency key %s ran at %s and again at %s", v.IdempotencyKey, first.Upstream, v.Upstream)
		}
		keys[v.IdempotencyKey] = v
		if v.Body == "" {
			continue
		}
		if first := bodies[v.Body]; first != nil && first.IdempotencyKey != v.IdempotencyKey {
			report.addViolation("operation %s ran with idempotency key %s and again with key %s", v.Body, first.IdempotencyKey, v.IdempotencyKey)
		}
		bodies[v.Body] = v
	}
	return report
}

func runsByRequest(r *records) map[string]*record.Run {
	byRequest := map[string]*record.Run{}
	for _, v := range r.runs {
		byRequest[v.RequestID] = v
	}
	return byRequest
}

// checkNotRun checks that no attempt whose response states "not run" is in the records of a service.
func checkNotRun(r *records) Report {
	report := Report{Promise: AccurateNotRun}
	byRequest := runsByRequest(r)
	for _, c := range r.calls {
		if c.Outcome != record.OutcomeNotRun || c.Trace == "" {
			continue
		}
		report.Examined++
		if v := byRequest[c.Trace]; v != nil {
			report.addViolation("request %d attempt %d, trace %s: the response states not-run, but %s ran the request", c.ID, c.Attempt, c.Trace, v.Upstream)
		}
	}
	return report
}

// checkRun checks that each non-repeatable operation whose response states that it was run is in the records of a
// service.
func checkRun(r *records) Report {
	report := Report{Promise: AccurateRun}
	ran := map[string]bool{}
	for _, v := range r.runs {
		ran[v.IdempotencyKey] = true
	}
	for _, c := range r.calls {
		if c.IdempotencyKey == "" || c.Outcome != record.OutcomeRun {
			continue
		}
		report.Examined++
		if !ran[c.IdempotencyKey] {
			report.addViolation("request %d, idempotency key %s: the response states run, but no service ran the request", c.ID, c.IdempotencyKey)
		}
	}
	return report
}

// checkResponses checks that each complete response is the response to its own request.
func checkResponses(r *records) Report {
	report := Report{Promise: CorrectResponse}
	for _, c := range r.calls {
		if !c.Complete || c.ExpectedDigest == "" {
			continue
		}
		report.Examined++
		if c.ResponseDigest != c.ExpectedDigest {
			report.addViolation("request %d attempt %d from %s: response has digest %s, want %s", c.ID, c.Attempt, c.Upstream, c.ResponseDigest, c.ExpectedDigest)
		}
	}
	return report
}
