package explain

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/ownership"
	"github.com/orioleusher/orioleusher/internal/routing"
	"github.com/orioleusher/orioleusher/internal/settings"
)

func parse(t *testing.T, edit func(*document.Document)) *document.Snapshot {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/lobue/document.json")
	if err != nil {
		t.Fatal(err)
	}
	snap, err := document.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	edit(snap.Document)
	raw, err = snap.Encode()
	if err != nil {
		t.Fatal(err)
	}
	snap, err = document.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

func view(live ownership.Liveness, dataCentre string) View {
	return View{DataCentre: dataCentre, Policy: settings.PolicyBounded, Live: live}
}

// onlyLive treats exactly one host as live.
type onlyLive string

func (o onlyLive) Live(host string) bool { return host == string(o) }

func TestReportMatchesRequestPath(t *testing.T) {
	is := is.New(t)
	snap := parse(t, func(d *document.Document) {
		d.Pools[0].NearFirst = true
		d.Pools[0].Upstreams[0].State = document.StateOut
		d.DataCentres[3].State = document.StateOut
	})
	report, err := Chat(snap, view(AllLive{}, "catania-b"), "chat", "chat-1")
	is.NoErr(err)
	is.Equal(len(report.Upstreams), 10)
	planner := routing.NewPlanner(settings.PolicyBounded, "catania-b")
	for i, name := range planner.Candidates(snap, snap.Pool("quotes"), "chat-1", nil) {
		is.Equal(report.Upstreams[i].Name, name)
		is.Equal(report.Upstreams[i].Position, i+1)
	}
	is.Equal(report.Upstreams[0].Reason, "near, in rendezvous order of the chat")
	reasons := map[string]string{}
	for _, u := range report.Upstreams[7:] {
		is.Equal(u.Position, 0)
		reasons[u.Name] = u.Reason
	}
	is.Equal(reasons, map[string]string{"engine-1": "upstream is out", "engine-9": "data centre is out", "engine-10": "data centre is out"})
}

func TestOwnersDependOnLiveHosts(t *testing.T) {
	is := is.New(t)
	snap := parse(t, func(*document.Document) {})
	report, err := Chat(snap, view(onlyLive("siracusa-1"), "acireale"), "chat", "c")
	is.NoErr(err)
	for _, u := range report.Upstreams {
		is.Equal(u.Owner, "siracusa-1")
	}
	is.Equal(report.Upstreams[9].Position, 0)
	is.Equal(report.Upstreams[9].Reason, "behind the first 8, which alone are considered")
	report, err = Chat(snap, view(onlyLive("nobody"), "acireale"), "chat", "c")
	is.NoErr(err)
	is.Equal(report.Upstreams[0].Owner, "")
	is.Equal(report.Upstreams[0].Reason, "rendezvous order of the chat; no live host can own it")
	_, err = Chat(snap, view(AllLive{}, "acireale"), "none", "c")
	is.True(err != nil)
}
