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

// demoTimeout is the timeout of one call of the demo.
const demoTimeout = 20 * time.Second

// demoAnswerTokens is the number of tokens of the chat responses that the demo requests.
const demoAnswerTokens = 24

// demoAttempts is how many times a call is sent while it exceeds its team's rate.
const demoAttempts = 20

// ReadCallers reads the callers file at path. It must contain at least one entry address and one team.
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
		return nil, errors.Errorf("callers file %s must contain at least one entry address and one team", path)
	}
	return &c, nil
}

// Demo calls, for each team, the routes that are open to all teams and those that list this team first, and writes a
// table of the results to w. It returns an error if a call did not return the expected response.
func Demo(ctx context.Context, c *Callers, snap *document.Snapshot, w io.Writer) error {
	d := &demo{callers: c, snap: snap, caller: NewCaller(demoTimeout), table: tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)}
	fmt.Fprintln(d.table, "TEAM\tROUTE\tENTRY\tSTATUS\tUPSTREAM\tFIRST BYTE\tTOOK\tOUTCOME\tNOTE")
	for i, team := range c.Teams {
		address := c.EntryAddresses[i%len(c.EntryAddresses)]
		if err := d.callRoutesOfTeam(ctx, team, address); err != nil {
			return err
		}
	}
	if err := d.table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	if d.failed > 0 {
		return errors.Errorf("%d of %d calls did not return the expected response", d.failed, d.calls)
	}
	fmt.Fprintf(w, "%d calls made, all returned the expected response\n", d.calls)
	return nil
}

type demo struct {
	callers *Callers
	snap    *document.Snapshot
	caller  *Caller
	table   *tabwriter.Writer
	calls   int
	failed  int
}

func (d *demo) callRoutesOfTeam(ctx context.Context, team CallerTeam, address string) error {
	for i := range d.snap.Routes {
		r := &d.snap.Routes[i]
		if len(r.Teams) > 0 && r.Teams[0] != team.Name {
			continue
		}
		if err := d.callRoute(ctx, team, address, r); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) callRoute(ctx context.Context, team CallerTeam, address string, r *document.Route) error {
	call := Call{Address: address, Method: r.Methods[0], Path: r.Path, Key: team.Key}
	if r.Open {
		call.Key = ""
	}
	if d.snap.Pool(r.Pool).Kind == document.KindEngine {
		return d.callChat(ctx, team, r, call)
	}
	result, err := d.callWithRetry(ctx, call)
	if err != nil {
		return err
	}
	if result.Status != http.StatusPreconditionRequired {
		d.writeRow(team, r, call, result, result.Status == http.StatusOK, "")
		return nil
	}
	d.writeRow(team, r, call, result, !r.Repeatable, "idempotency key issued")
	return d.callTwiceWithKey(ctx, team, r, call, result.IdempotencyKey)
}

// callTwiceWithKey sends the call twice, to different entry hosts where there are several, with the same idempotency
// key. Both responses must be the same, because the call runs only once.
func (d *demo) callTwiceWithKey(ctx context.Context, team CallerTeam, r *document.Route, call Call, key string) error {
	call.IdempotencyKey = key
	first, err := d.callWithRetry(ctx, call)
	if err != nil {
		return err
	}
	d.writeRow(team, r, call, first, first.Status == http.StatusOK, "run with the key")
	call.Address = d.callers.EntryAddresses[len(d.callers.EntryAddresses)-1]
	second, err := d.callWithRetry(ctx, call)
	if err != nil {
		return err
	}
	d.writeRow(team, r, call, second, string(second.Body) == string(first.Body), "repeat at another host, same response")
	return nil
}

func (d *demo) callChat(ctx context.Context, team CallerTeam, r *document.Route, call Call) error {
	messages := []engine.Message{{Role: "user", Content: "Greetings from " + team.Name}}
	body, err := ChatBody(d.callers.Model, messages, true, demoAnswerTokens)
	if err != nil {
		return err
	}
	call.Body = body
	result, err := d.callWithRetry(ctx, call)
	if err != nil {
		return err
	}
	text, done := StreamText(result.Body)
	complete := done && text == engine.AnswerText(messages, demoAnswerTokens)
	d.writeRow(team, r, call, result, complete, "streamed, complete")
	return nil
}

// callWithRetry sends the call and retries it while the team's token bucket, which is empty after a start, has no token.
func (d *demo) callWithRetry(ctx context.Context, call Call) (*Result, error) {
	for range demoAttempts {
		result, err := d.caller.Do(ctx, call)
		if err != nil || result.Status != http.StatusTooManyRequests {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "wait for the rate limit of the team")
		case <-time.After(500 * time.Millisecond):
		}
	}
	return nil, errors.Errorf("call %s%s: refused %d times because the team exceeds its rate", call.Address, call.Path, demoAttempts)
}

func (d *demo) writeRow(team CallerTeam, r *document.Route, call Call, result *Result, ok bool, note string) {
	d.calls++
	if !ok {
		d.failed++
		note = "FAILED " + result.Code + " " + note
	}
	fmt.Fprintf(d.table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", team.Name, r.Name, call.Address, result.Status, result.Upstream,
		result.FirstByte.Round(100*time.Microsecond), result.Duration.Round(100*time.Microsecond), result.Outcome, note)
}
