package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
)

// node is one host in this process.
type node struct {
	name    string
	address string
	store   *config.Store
	gossip  *Gossip
	fetches atomic.Int64
	// servesInvalid makes the node serve a document that cannot be parsed.
	servesInvalid bool
}

// FetchDocument counts the calls.
func (n *node) FetchDocument(ctx context.Context, r *gossippb.FetchDocumentRequest) (*gossippb.FetchDocumentReply, error) {
	n.fetches.Add(1)
	if n.servesInvalid {
		return &gossippb.FetchDocumentReply{Document: []byte("{")}, nil
	}
	return n.gossip.FetchDocument(ctx, r)
}

// Exchange implements gossippb.Gossip.
func (n *node) Exchange(ctx context.Context, d *gossippb.Digest) (*gossippb.Digest, error) {
	return n.gossip.Exchange(ctx, d)
}

// Probe implements gossippb.Gossip.
func (n *node) Probe(ctx context.Context, r *gossippb.ProbeRequest) (*gossippb.ProbeReply, error) {
	return n.gossip.Probe(ctx, r)
}

// OfferDocument implements gossippb.Gossip.
func (n *node) OfferDocument(ctx context.Context, r *gossippb.OfferDocumentRequest) (*gossippb.OfferDocumentReply, error) {
	return n.gossip.OfferDocument(ctx, r)
}

// nodes returns hosts named a, b, c and so on. Their clock does not advance, and they have version 1 of the document.
func nodes(t *testing.T, count int) []*node {
	t.Helper()
	clock := clockwork.NewFakeClock()
	all := make([]*node, count)
	for i := range all {
		n := &node{name: string(rune('a' + i)), store: config.NewStore(clock, zerolog.Nop())}
		server := httptest.NewServer(gossippb.NewGossipServer(n))
		t.Cleanup(server.Close)
		n.address = strings.TrimPrefix(server.URL, "http://")
		n.gossip = NewGossip(Options{
			Self: n.name, SelfAddress: n.address, Incarnation: uint64(i + 1), Scheme: "http", Client: &http.Client{},
			Interval: time.Second, Members: NewMembers(n.name, uint64(i+1), suspectAfter, clock), Store: n.store, Clock: clock,
			Rand: rand.New(rand.NewPCG(uint64(i), 0)), Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
		all[i] = n
	}
	for _, n := range all {
		n.offer(t, all, 1)
	}
	return all
}

// offer gives the node a version of the document that lists the hosts.
func (n *node) offer(t *testing.T, hosts []*node, version uint64) {
	t.Helper()
	doc := document.Document{Schema: document.SchemaVersion, Fleet: "test", Version: version}
	dc := document.DataCentre{Name: "dc-1", State: document.StateIn}
	for i, h := range hosts {
		dc.Hosts = append(dc.Hosts, document.Host{
			Name: h.name, PeerAddress: h.address,
			CallerAddress: fmt.Sprintf("127.0.0.%d:1", i+1), AdminAddress: fmt.Sprintf("127.0.0.%d:2", i+1),
		})
	}
	doc.DataCentres = []document.DataCentre{dc}
	doc.Pools = []document.Pool{{Name: "p", Kind: document.KindService, LoadFactor: 1.25, Upstreams: []document.Upstream{{
		Name: "u", DataCentre: "dc-1", Address: "127.0.0.1:8000", State: document.StateIn, Capacity: 1,
	}}}}
	doc.Routes = []document.Route{{Name: "r", Path: "/", Methods: []string{"GET"}, Pool: "p", Open: true, Repeatable: true}}
	raw, err := doc.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := n.store.Offer(raw, "test"); err != nil {
		t.Fatal(err)
	}
}

func TestNewerDocumentIsFetchedOnce(t *testing.T) {
	is := is.New(t)
	all := nodes(t, 3)
	all[0].offer(t, all, 2)
	for range 3 {
		all[1].gossip.Round(context.Background())
	}
	is.Equal(all[1].store.Current().Version, uint64(2))
	is.Equal(all[0].fetches.Load(), int64(1))
}

func TestDocumentIsFetchedFromUnlistedSender(t *testing.T) {
	is := is.New(t)
	all := nodes(t, 3)
	all[1].offer(t, all[1:], 2)
	all[0].offer(t, all, 3)
	_, err := all[1].gossip.Exchange(context.Background(), all[0].gossip.digest("b"))
	is.NoErr(err)
	deadline := time.Now().Add(10 * time.Second)
	for all[1].store.Current().Version != 3 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(all[1].store.Current().Version, uint64(3))
}

func TestInvalidDocumentIsNotRefetchedImmediately(t *testing.T) {
	is := is.New(t)
	all := nodes(t, 2)
	all[0].offer(t, all, 2)
	all[0].servesInvalid = true
	for range 5 {
		all[1].gossip.Round(context.Background())
	}
	is.Equal(all[1].store.Current().Version, uint64(1))
	is.Equal(all[0].fetches.Load(), int64(1))
}

func TestResyncFindsHighestVersion(t *testing.T) {
	is := is.New(t)
	all := nodes(t, 4)
	all[2].offer(t, all, 7)
	all[3].offer(t, all, 5)
	asked, reached := all[0].gossip.Resync(context.Background())
	is.Equal(asked, 3)
	is.Equal(reached, 3)
	is.Equal(all[0].store.Current().Version, uint64(7))
}

func TestProbeReportsOnlyTheRequestedHost(t *testing.T) {
	is := is.New(t)
	all := nodes(t, 3)
	probe := func(host string) bool {
		reply, err := all[0].gossip.Probe(context.Background(), &gossippb.ProbeRequest{Host: host})
		is.NoErr(err)
		return reply.Reachable
	}
	is.True(probe("c"))
	is.True(!probe("nobody"))
}

func TestMessagesPerRoundAreBounded(t *testing.T) {
	is := is.New(t)
	all := nodes(t, 12)
	for _, n := range all {
		n.gossip.Resync(context.Background())
	}
	before := all[0].gossip.State().Messages
	const rounds = 10
	for range rounds {
		all[0].gossip.Round(context.Background())
	}
	is.True(all[0].gossip.State().Messages-before <= rounds*(fanOut+1))
}
