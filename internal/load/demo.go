package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
)

// demoTimeout bounds one call of the demonstration.
const demoTimeout = 20 * time.Second

// demoTokens is the length of the answers that the demonstration asks for.
const demoTokens = 24

// demoTries is how often a call that was refused for its team's rate is made again.
const demoTries = 20

// ReadCallers reads a callers file.
func ReadCallers(path string) (*Callers, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read callers file")
	}
	var c Callers
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, errors.Wrapf(err, "callers file %s", path)
	}
	if len(c.EntryAddresses) == 0 || len(c.Teams) == 0 {
		return nil, errors.Errorf("callers file %s: want at least one entry address and one team", path)
	}
	return &c, nil
}

// Demo makes one call of each kind for each team and writes a table of what happened to w. The error says that a call
// did not end as it should.
func Demo(ctx context.Context, c *Callers, snap *document.Snapshot, w io.Writer) error {
	d := &demo{callers: c, snap: snap, caller: NewCaller(demoTimeout), table: tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)}
	fmt.Fprintln(d.table, "TEAM\tROUTE\tENTRY\tSTATUS\tUPSTREAM\tFIRST BYTE\tTOOK\tOUTCOME\tNOTE")
	for i, team := range c.Teams {
		address := c.EntryAddresses[i%len(c.EntryAddresses)]
		if err := d.team(ctx, team, address); err != nil {
			return err
		}
	}
	if err := d.table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	if d.failed > 0 {
		return errors.Errorf("%d of %d calls did not end as they should", d.failed, d.made)
	}
	fmt.Fprintf(w, "%d calls made, all ended as they should\n", d.made)
	return nil
}

type demo struct {
	callers *Callers
	snap    *document.Snapshot
	caller  *Caller
	table   *tabwriter.Writer
	made    int
	failed  int
}

func (d *demo) team(ctx context.Context, team CallerTeam, address string) error {
	for i := range d.snap.Routes {
		r := &d.snap.Routes[i]
		if len(r.Teams) > 0 && r.Teams[0] != team.Name {
			continue
		}
		if err := d.route(ctx, team, address, r); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) route(ctx context.Context, team CallerTeam, address string, r *document.Route) error {
	call := Call{Address: address, Method: r.Methods[0], Path: r.Path, Key: team.Key}
	if r.Open {
		call.Key = ""
	}
	if d.snap.Pool(r.Pool).Kind == document.KindEngine {
		return d.chat(ctx, team, r, call)
	}
	result, err := d.do(ctx, call)
	if err != nil {
		return err
	}
	if result.Status != http.StatusPreconditionRequired {
		d.row(team, r, call, result, result.Status == http.StatusOK, "")
		return nil
	}
	d.row(team, r, call, result, !r.Repeatable, "asked for an idempotency key")
	return d.once(ctx, team, r, call, result.IdempotencyKey)
}

// once uses an issued key twice; both calls must get the answer of one run.
func (d *demo) once(ctx context.Context, team CallerTeam, r *document.Route, call Call, key string) error {
	call.IdempotencyKey = key
	first, err := d.do(ctx, call)
	if err != nil {
		return err
	}
	d.row(team, r, call, first, first.Status == http.StatusOK, "ran once")
	call.Address = d.callers.EntryAddresses[len(d.callers.EntryAddresses)-1]
	second, err := d.do(ctx, call)
	if err != nil {
		return err
	}
	d.row(team, r, call, second, string(second.Body) == string(first.Body), "repeat elsewhere, same answer")
	return nil
}

func (d *demo) chat(ctx context.Context, team CallerTeam, r *document.Route, call Call) error {
	messages := []engine.Message{{Role: "user", Content: "Greetings from " + team.Name}}
	body, err := ChatBody(d.callers.Model, messages, true, demoTokens)
	if err != nil {
		return err
	}
	call.Body = body
	result, err := d.do(ctx, call)
	if err != nil {
		return err
	}
	text, done := StreamText(result.Body)
	whole := done && text == engine.AnswerText(messages, demoTokens)
	d.row(team, r, call, result, whole, "streamed, whole")
	return nil
}

// do makes the call and comes again while the team's bucket, which is empty after a start, has no token.
func (d *demo) do(ctx context.Context, call Call) (*Result, error) {
	for range demoTries {
		result, err := d.caller.Do(ctx, call)
		if err != nil || result.Status != http.StatusTooManyRequests {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "wait for the team's rate")
		case <-time.After(500 * time.Millisecond):
		}
	}
	return nil, errors.Errorf("call %s%s: above the team's rate %d times", call.Address, call.Path, demoTries)
}

func (d *demo) row(team CallerTeam, r *document.Route, call Call, result *Result, ok bool, note string) {
	d.made++
	if !ok {
		d.failed++
		note = "FAILED " + result.Code + " " + note
	}
	fmt.Fprintf(d.table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", team.Name, r.Name, call.Address, result.Status, result.Upstream,
		result.FirstByte.Round(100*time.Microsecond), result.Took.Round(100*time.Microsecond), result.Outcome, note)
}
