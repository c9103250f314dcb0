package resume

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

const streamEvents = 6

var errCut = errors.New("connection lost")

// brokenBody returns err instead of io.EOF at the end of its text.
type brokenBody struct {
	io.Reader
	err error
}

func (b *brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.err
	}
	return n, err
}

func (b *brokenBody) Close() error { return nil }

func body(text string, err error) io.ReadCloser {
	return &brokenBody{Reader: strings.NewReader(text), err: err}
}

// events returns the stream's events from the given index on, including the end event.
func events(from int) string {
	var text strings.Builder
	for i := from; i < streamEvents; i++ {
		fmt.Fprintf(&text, "data: {\"token\":%d}\n\n", i)
	}
	return text.String() + "data: [DONE]\n\n"
}

// fakeEngines responds to each attempt with the next entry of responses.
type fakeEngines struct {
	responses   []func(from int) (*exchange.Response, error)
	firstEvents []int
}

func (e *fakeEngines) next(_ context.Context, x *exchange.Exchange) error {
	from, _ := strconv.Atoi(x.Header.Get(HeaderResumeFrom))
	e.firstEvents = append(e.firstEvents, from)
	respond := e.responses[0]
	e.responses = e.responses[1:]
	a, err := respond(from)
	x.Response = a
	return err
}

func streamed(cut int, err error) func(int) (*exchange.Response, error) {
	return func(from int) (*exchange.Response, error) {
		text := events(from)
		header := http.Header{"Content-Type": {eventStream}}
		return &exchange.Response{Status: http.StatusOK, Header: header, Body: body(text[:min(cut, len(text))], err)}, nil
	}
}

func refused(int) (*exchange.Response, error) {
	return nil, outcome.Unavailable("test", "full", "no free slot")
}

type fakeCrashReporter struct{ quarantined bool }

func (d fakeCrashReporter) ReportBrokenResponse(context.Context, *exchange.Exchange, string, string) bool {
	return d.quarantined
}

func newExchange(t *testing.T) *exchange.Exchange {
	t.Helper()
	snap, err := document.Parse([]byte(`{"schema":1,"fleet":"f","version":1,"parent":{"version":0,"hash":""},
		"data_centres":[{"name":"d","state":"in","hosts":[]}],
		"pools":[{"name":"p","kind":"engine","load_factor":1,"upstreams":[]}],
		"routes":[{"name":"r","path":"/","methods":["POST"],"pool":"p","repeatable":true}],"teams":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	return &exchange.Exchange{Snapshot: snap, Route: &snap.Routes[0], Header: http.Header{}}
}

func TestStreamIsCompletedAfterBreaks(t *testing.T) {
	const all = 1 << 20
	one := len("data: {\"token\":0}\n\n")
	tests := []struct {
		name        string
		responses   []func(int) (*exchange.Response, error)
		quarantined bool
		whole       bool
		firstEvents []int
	}{
		{"no break", []func(int) (*exchange.Response, error){streamed(all, io.EOF)}, false, true, []int{0}},
		{"cut before the first event", []func(int) (*exchange.Response, error){streamed(3, errCut), streamed(all, io.EOF)}, false, true, []int{0, 0}},
		{"cut inside an event", []func(int) (*exchange.Response, error){streamed(2*one+5, errCut), streamed(all, io.EOF)}, false, true, []int{0, 2}},
		{"clean end without the end event", []func(int) (*exchange.Response, error){streamed(3*one, io.EOF), streamed(all, io.EOF)}, false, true, []int{0, 3}},
		{"cut after the last event", []func(int) (*exchange.Response, error){streamed(streamEvents*one, errCut), streamed(all, io.EOF)}, false, true, []int{0, 6}},
		{"cut twice", []func(int) (*exchange.Response, error){streamed(one, errCut), streamed(one, errCut), streamed(all, io.EOF)}, false, true, []int{0, 1, 2}},
		{"refused in between", []func(int) (*exchange.Response, error){streamed(one, errCut), refused, streamed(all, io.EOF)}, false, true, []int{0, 1, 1}},
		{"cut too often", []func(int) (*exchange.Response, error){
			streamed(one, errCut), streamed(one, errCut), streamed(one, errCut), streamed(one, errCut),
		}, false, false, []int{0, 1, 2, 3}},
		{"quarantined", []func(int) (*exchange.Response, error){streamed(one, errCut)}, true, false, []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := &fakeEngines{responses: tt.responses}
			x := newExchange(t)
			f := New(fakeCrashReporter{quarantined: tt.quarantined}, tally.NoopScope)
			is.NoErr(f.Handle(context.Background(), x, e.next))
			text, err := io.ReadAll(x.Response.Body)
			is.Equal(e.firstEvents, tt.firstEvents)
			is.Equal(err == nil, tt.whole) // An incomplete stream must not end like a complete one.
			if tt.whole {
				is.Equal(string(text), events(0))
			} else {
				is.True(strings.HasPrefix(events(0), string(text)))
			}
			is.NoErr(x.Response.Body.Close())
		})
	}
}

func TestBrokenWholeResponseIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	whole := func(text string, err error) func(int) (*exchange.Response, error) {
		return func(int) (*exchange.Response, error) {
			return &exchange.Response{Status: http.StatusOK, Header: http.Header{}, Body: body(text, err)}, nil
		}
	}
	e := &fakeEngines{responses: []func(int) (*exchange.Response, error){whole(`{"half`, errCut), whole(`{"whole":1}`, io.EOF)}}
	x := newExchange(t)
	is.NoErr(New(fakeCrashReporter{}, tally.NoopScope).Handle(context.Background(), x, e.next))
	text, err := io.ReadAll(x.Response.Body)
	is.NoErr(err)
	is.Equal(string(text), `{"whole":1}`)
}
