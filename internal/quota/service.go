package quota

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/rpc/quotapb"
)

const (
	// statusInterval is the time between two rounds of status requests while acknowledgements are missing.
	statusInterval = 100 * time.Millisecond
	// statusTimeout is the timeout of one round of status requests.
	statusTimeout = time.Second
)

// Server implements quotapb.Quota for requests to the peer address.
type Server struct {
	Limiter *Limiter
	Store   *config.Store
}

// Borrow implements quotapb.Quota.
func (s *Server) Borrow(_ context.Context, r *quotapb.BorrowRequest) (*quotapb.BorrowReply, error) {
	if r.Team == "" || r.Want == 0 {
		return nil, twirp.InvalidArgumentError("team and want", "must be set")
	}
	s.apply()
	return s.Limiter.Lend(r.Team, r.Want), nil
}

// Status implements quotapb.Quota.
func (s *Server) Status(_ context.Context, r *quotapb.StatusRequest) (*quotapb.StatusReply, error) {
	if r.Sender == "" {
		return nil, twirp.InvalidArgumentError("sender", "must be set")
	}
	s.apply()
	return s.Limiter.Status(r.Sender, r.Incarnation), nil
}

// apply applies the store's document to the limiter before a reply that depends on it.
func (s *Server) apply() {
	if snap := s.Store.Current(); snap != nil {
		s.Limiter.Apply(snap)
	}
}

// PeerClient calls quotapb.Quota on other routers.
type PeerClient struct {
	Self        string
	Incarnation uint64
	// Scheme is http or https.
	Scheme string
	Client *http.Client
	Store  *config.Store
}

func (p *PeerClient) quota(host document.EntryHost) quotapb.Quota {
	return quotapb.NewQuotaProtobufClient(p.Scheme+"://"+host.PeerAddress, p.Client)
}

func (p *PeerClient) version() uint64 {
	if snap := p.Store.Current(); snap != nil {
		return snap.Version
	}
	return 0
}

// Borrow implements LenderClient.
func (p *PeerClient) Borrow(ctx context.Context, host document.EntryHost, team string, want uint32) (*quotapb.BorrowReply, error) {
	reply, err := p.quota(host).Borrow(ctx, &quotapb.BorrowRequest{
		Sender: p.Self, Incarnation: p.Incarnation, DocumentVersion: p.version(), Team: team, Want: want,
	})
	return reply, errors.Wrapf(err, "borrow tokens from %s", host.Name)
}

// Status queries which split a host applies.
func (p *PeerClient) Status(ctx context.Context, host document.EntryHost) (*quotapb.StatusReply, error) {
	reply, err := p.quota(host).Status(ctx, &quotapb.StatusRequest{
		Sender: p.Self, Incarnation: p.Incarnation, DocumentVersion: p.version(),
	})
	return reply, errors.Wrapf(err, "query quota status of %s", host.Name)
}

// SyncLoop applies documents to the limiter and collects the acknowledgements that are required before shares may grow.
type SyncLoop struct {
	Limiter *Limiter
	Store   *config.Store
	Peers   *PeerClient
	Clock   clockwork.Clock
	Log     zerolog.Logger
}

// Run runs the loop until the context is cancelled.
func (l *SyncLoop) Run(ctx context.Context) {
	for {
		changed := l.Store.Changed()
		if snap := l.Store.Current(); snap != nil {
			l.Limiter.Apply(snap)
		}
		var retry <-chan time.Time
		if queries := l.Limiter.PendingStatusQueries(); len(queries) > 0 {
			l.pollHosts(ctx, queries)
			retry = l.Clock.After(statusInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-retry:
		}
	}
}

// pollHosts sends all status requests in parallel and waits for their completion.
func (l *SyncLoop) pollHosts(ctx context.Context, queries []StatusQuery) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	done := make(chan struct{}, len(queries))
	for _, q := range queries {
		go func() {
			l.poll(ctx, q)
			done <- struct{}{}
		}()
	}
	for range queries {
		<-done
	}
}

func (l *SyncLoop) poll(ctx context.Context, q StatusQuery) {
	reply, err := l.Peers.Status(ctx, q.Host)
	if err != nil {
		l.Log.Debug().Str("event", "quota-status-failed").Str("peer", q.Host.Name).Err(err).Send()
		return
	}
	l.Limiter.HandleStatusReply(q, reply)
}
