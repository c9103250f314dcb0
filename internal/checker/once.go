package checker

import "github.com/orioleusher/orioleusher/internal/record"

// checkOnce checks that the services ran each idempotency key, and each operation of a caller, at most once.
func checkOnce(r *run) Report {
	report := Report{Promise: AtMostOnce}
	keys := map[string]*record.Run{}
	bodies := map[string]*record.Run{}
	for _, v := range r.runs {
		if v.IdempotencyKey == "" {
			continue
		}
		report.Examined++
		if first := keys[v.IdempotencyKey]; first != nil {
			report.violate("key %s ran at %s and again at %s", v.IdempotencyKey, first.Upstream, v.Upstream)
		}
		keys[v.IdempotencyKey] = v
		if v.Body == "" {
			continue
		}
		if first := bodies[v.Body]; first != nil && first.IdempotencyKey != v.IdempotencyKey {
			report.violate("operation %s ran with key %s and again with key %s", v.Body, first.IdempotencyKey, v.IdempotencyKey)
		}
		bodies[v.Body] = v
	}
	return report
}

func runsByRequest(r *run) map[string]*record.Run {
	byRequest := map[string]*record.Run{}
	for _, v := range r.runs {
		byRequest[v.RequestID] = v
	}
	return byRequest
}

// checkNotRun checks that no attempt whose answer says "not run" is in the record of a service.
func checkNotRun(r *run) Report {
	report := Report{Promise: TrueNotRun}
	byRequest := runsByRequest(r)
	for _, c := range r.calls {
		if c.Outcome != record.OutcomeNotRun || c.Trace == "" {
			continue
		}
		report.Examined++
		if v := byRequest[c.Trace]; v != nil {
			report.violate("request %d attempt %d, trace %s: answered not-run, and %s ran it", c.ID, c.Attempt, c.Trace, v.Upstream)
		}
	}
	return report
}

// checkRun checks that each operation that may not be repeated, and whose answer says that it ran, is in the record of
// a service.
func checkRun(r *run) Report {
	report := Report{Promise: TrueRun}
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
			report.violate("request %d, key %s: answered run, and no service ran it", c.ID, c.IdempotencyKey)
		}
	}
	return report
}

// checkWhole checks that each answer that ended as a whole one is the answer to its own request.
func checkWhole(r *run) Report {
	report := Report{Promise: WholeAnswer}
	for _, c := range r.calls {
		if !c.Whole || c.Want == "" {
			continue
		}
		report.Examined++
		if c.Got != c.Want {
			report.violate("request %d attempt %d from %s: digest %s, want %s", c.ID, c.Attempt, c.Upstream, c.Got, c.Want)
		}
	}
	return report
}
