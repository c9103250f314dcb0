package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/explain"
	"github.com/orioleusher/orioleusher/internal/settings"
)

type explainCommand struct {
	app *app
	documentSource
	Route      string `long:"route" required:"yes" value-name:"NAME" description:"name of the route"`
	Chat       string `long:"chat" required:"yes" value-name:"ID" description:"the chat's id, as in the header X-Chat-Id"`
	Router     string `long:"router" value-name:"NAME" description:"ask this router, with its view of live hosts"`
	DataCentre string `long:"data-centre" value-name:"NAME" description:"data centre of the entry host, without --router"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	client := c.app.client()
	snap, err := c.read(client)
	if err != nil {
		return err
	}
	report, err := c.report(client, snap)
	if err != nil {
		return err
	}
	if err := c.app.writeOutput(report, func(w io.Writer) { writeExplanation(w, report) }); err != nil {
		return err
	}
	if len(report.Upstreams) == 0 || report.Upstreams[0].Position == 0 || report.Upstreams[0].Owner == "" {
		return errCheckFailed
	}
	return nil
}

func (c *explainCommand) report(client *client, snap *document.Snapshot) (*explain.Report, error) {
	if c.Router == "" {
		view := explain.View{DataCentre: c.DataCentre, Policy: settings.PolicyBounded, Live: explain.AllLive{}}
		return explain.Chat(snap, view, c.Route, c.Chat)
	}
	host, ok := snap.Host(c.Router)
	if !ok {
		return nil, errors.Errorf("router %q is not in document version %d", c.Router, snap.Version)
	}
	query := url.Values{admin.ParamRoute: {c.Route}, admin.ParamChat: {c.Chat}}
	raw, err := client.get("http://" + host.AdminAddress + admin.PathExplain + "?" + query.Encode())
	if err != nil {
		return nil, errors.Wrapf(err, "request explanation from router %s", c.Router)
	}
	var report explain.Report
	return &report, errors.Wrapf(json.Unmarshal(raw, &report), "decode response of router %s", c.Router)
}

func writeExplanation(w io.Writer, r *explain.Report) {
	viewpoint := "the document alone, assuming all hosts are live"
	if r.Host != "" {
		viewpoint = "router " + r.Host
	}
	fmt.Fprintf(w, "chat %s on route %s, pool %s, policy %s, document version %d\nas seen by %s, data centre %s\n\n",
		r.Chat, r.Route, r.Pool, r.Policy, r.Version, viewpoint, orDash(r.DataCentre))
	fmt.Fprintln(w, "ORDER\tUPSTREAM\tDATA CENTRE\tOWNER\tREASON")
	for _, u := range r.Upstreams {
		order := "-"
		if u.Position > 0 {
			order = fmt.Sprint(u.Position)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", order, u.Name, u.DataCentre, orDash(u.Owner), u.Reason)
	}
	fmt.Fprintln(w, "\nIf the first upstream is full, cold or failing, its owner may send the request to the next one.")
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
