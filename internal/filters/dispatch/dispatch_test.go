package dispatch

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/filters/quarantine"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

func TestMayTryNext(t *testing.T) {
	refusal := func(code string, o outcome.Outcome) *outcome.Refusal {
		r := outcome.Unavailable("owner", code, "")
		r.Outcome = o
		return r
	}
	tests := []struct {
		name       string
		repeatable bool
		over       bool
		err        *outcome.Refusal
		want       bool
	}{
		{"not run", false, false, refusal("upstream-full", outcome.NotRun), true},
		{"unknown", false, false, refusal("no-answer", outcome.Unknown), false},
		{"unknown, repeatable", true, false, refusal("no-answer", outcome.Unknown), true},
		{"the upstream crashed", true, false, refusal(quarantine.CodeUpstreamCrashed, outcome.Unknown), false},
		{"quarantined", true, false, refusal(quarantine.CodeQuarantined, outcome.NotRun), false},
		{"the context has ended", true, true, refusal("upstream-full", outcome.NotRun), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if tt.over {
				cancel()
			}
			x := &exchange.Exchange{Route: &document.Route{Repeatable: tt.repeatable}}
			is.New(t).Equal(mayTryNext(ctx, x, tt.err), tt.want)
		})
	}
}
