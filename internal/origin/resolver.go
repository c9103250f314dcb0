package origin

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// ErrUnknown reports that it cannot be found out which version began a stream.
var ErrUnknown = errors.New("the version that began the stream is not known")

// Versions tells which software versions upstreams had lately.
type Versions interface {
	// VersionsSince returns the versions of the service that were published at any time since then, as far as this host
	// has followed what is published.
	VersionsSince(service string, since time.Time) []string
	// FollowedSince returns the time since which this host has followed what is published without a gap, and DataAge how
	// old its knowledge is.
	FollowedSince() time.Time
	DataAge() time.Duration
	// UpstreamVersion returns the version of the service's upstream with the ID, and whether it is published.
	UpstreamVersion(service, id string) (version string, ok bool)
}

// Answer is what another host knows of a stream.
type Answer struct {
	// Host is the address of the host.
	Host string
	// Origin is nil if the host does not know the origin.
	Origin *Record
	// Versions are the versions of the service that were published within the window.
	Versions []string
	// Followed is the time for which the host has followed what is published, and Age how old its knowledge is.
	Followed, Age time.Duration
}

// Query asks for a stream.
type Query struct {
	Stream  StreamID
	Service string
	// Window is the time within which the stream began.
	Window time.Duration
}

// Peers asks other hosts.
type Peers interface {
	// AskOrigin returns the answers of the hosts that may have been told of the stream, up to the first that knows its
	// origin.
	AskOrigin(ctx context.Context, q Query) []Answer
}

// History extends the knowledge of published versions into the past.
type History interface {
	// Extend reads the versions that were published before this host began to follow, as far back as the window if it can,
	// and returns for how long before now they are known.
	Extend(ctx context.Context, window time.Duration) (time.Duration, error)
	// Refresh reads the versions that have been published up to the given time or later.
	Refresh(ctx context.Context, since time.Time) error
}

// Options configures NewResolver.
type Options struct {
	Table    *Table
	Versions Versions
	Peers    Peers
	History  History
	// MaxDataAge is the age of what is known of published versions from which on another host may have used a version that
	// this one has not seen.
	MaxDataAge time.Duration
	Clock      clockwork.Clock
	Log        zerolog.Logger
	Scope      tally.Scope
}

// Resolver finds the origins of streams that callers continue.
type Resolver struct {
	Options
	scope tally.Scope
}

// NewResolver returns a resolver.
func NewResolver(o Options) *Resolver {
	return &Resolver{Options: o, scope: o.Scope.SubScope("origin")}
}

// Sources of an origin, for the log and the metrics.
const (
	sourceOwn     = "own"
	sourcePeer    = "peer"
	sourceVersion = "single-version"
	sourceUnknown = "unknown"
	// sourceUnproven is a record of an upstream that has published another version since.
	sourceUnproven = "unproven"
)

// evidence is what is known of the versions that can have begun a stream.
type evidence struct {
	versions []string
	// followed is the time for which they are known, and age how old the newest knowledge is.
	followed, age time.Duration
	peers         int
}

// add adds what a host knows. If its knowledge is older than maxAge, the time for which it has followed does not count:
// versions may have come and gone since, before hosts with newer knowledge began to follow.
func (e *evidence) add(a Answer, maxAge time.Duration) {
	for _, v := range a.Versions {
		if !slices.Contains(e.versions, v) {
			e.versions = append(e.versions, v)
		}
	}
	if a.Age <= maxAge {
		e.followed = max(e.followed, a.Followed)
	}
	e.age = min(e.age, a.Age)
}

// Known returns what this host knows without asking others.
func (r *Resolver) Known(q Query) Answer {
	now := r.Clock.Now()
	// The versions are read last, so that they are known at least for the time and with the age that the answer claims.
	a := Answer{Followed: now.Sub(r.Versions.FollowedSince()), Age: r.Versions.DataAge()}
	a.Versions = r.Versions.VersionsSince(q.Service, now.Add(-q.Window))
	if rec, ok := r.Table.Find(q.Stream); ok {
		a.Origin = &rec
	}
	return a
}

// Resolve returns the origin of the stream, and whether a record of it exists. The error is ErrUnknown if there is no record
// and upstreams of more than one version, or of an unknown one, may have begun the stream.
func (r *Resolver) Resolve(ctx context.Context, q Query) (o Origin, recorded bool, err error) {
	arrived := r.Clock.Now()
	own := r.Known(q)
	e := &evidence{age: own.Age}
	e.add(own, r.MaxDataAge)
	if own.Origin != nil {
		return r.resolveRecord(ctx, q, *own.Origin, sourceOwn, e)
	}
	for _, a := range r.Peers.AskOrigin(ctx, q) {
		if a.Origin != nil {
			return r.resolveRecord(ctx, q, *a.Origin, sourcePeer, e)
		}
		e.add(a, r.MaxDataAge)
		e.peers++
	}
	if len(e.versions) == 1 && e.followed < q.Window && e.age <= r.MaxDataAge {
		r.readHistory(ctx, q, e)
	}
	if !r.concludes(q, e) || !r.refresh(ctx, q, e, arrived) {
		r.log(q, Origin{}, sourceUnknown, e)
		return Origin{}, false, ErrUnknown
	}
	o = Origin{Service: q.Service, Version: e.versions[0]}
	r.log(q, o, sourceVersion, e)
	return o, false, nil
}

// resolveRecord returns the origin in the record. If another incarnation of the upstream may have begun the stream, it waits until
// that has been published, so that its version is known.
func (r *Resolver) resolveRecord(ctx context.Context, q Query, rec Record, source string, e *evidence) (Origin, bool, error) {
	if rec.Upstream != "" && !r.isCertain(ctx, rec) {
		r.log(q, Origin{}, sourceUnproven, e)
		return Origin{}, true, ErrUnknown
	}
	rec.Upstream = ""
	r.Table.Add(rec)
	r.log(q, rec.Origin, source, e)
	return rec.Origin, true, nil
}

// isCertain waits until the record's origin is certain, and reports whether it is.
func (r *Resolver) isCertain(ctx context.Context, rec Record) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(rec.Due.Sub(r.Clock.Now())):
	}
	if err := r.History.Refresh(ctx, rec.Due); err != nil {
		r.Log.Warn().Str("event", "versions-not-refreshed").Str("service", rec.Service).Err(err).Send()
		return false
	}
	version, ok := r.Versions.UpstreamVersion(rec.Service, rec.Upstream)
	return !ok || version == rec.Version
}

// concludes reports whether a single version can have begun the stream, as far as is known.
func (r *Resolver) concludes(q Query, e *evidence) bool {
	return len(e.versions) == 1 && e.followed >= q.Window && e.age <= r.MaxDataAge
}

// refresh adds the versions that were published before the request arrived and that this host and those that it asked may not
// have heard of, and reports whether there is still a single one. The stream may have begun at the newest upstream.
func (r *Resolver) refresh(ctx context.Context, q Query, e *evidence, arrived time.Time) bool {
	if err := r.History.Refresh(ctx, arrived); err != nil {
		r.Log.Warn().Str("event", "versions-not-refreshed").Str("service", q.Service).Err(err).Send()
		return false
	}
	e.add(Answer{Versions: r.Versions.VersionsSince(q.Service, r.Clock.Now().Add(-q.Window)), Age: e.age}, r.MaxDataAge)
	return r.concludes(q, e)
}

// readHistory adds what the history of the published items tells.
func (r *Resolver) readHistory(ctx context.Context, q Query, e *evidence) {
	followed, err := r.History.Extend(ctx, q.Window)
	if err != nil {
		r.Log.Warn().Str("event", "version-history-unread").Str("service", q.Service).Err(err).Send()
		return
	}
	e.add(Answer{Versions: r.Versions.VersionsSince(q.Service, r.Clock.Now().Add(-q.Window)), Followed: followed, Age: e.age}, r.MaxDataAge)
}

func (r *Resolver) log(q Query, o Origin, source string, e *evidence) {
	r.scope.Tagged(map[string]string{"source": source}).Counter("resolved").Inc(1)
	r.Log.Info().Str("event", "stream-origin").Uint64("stream", uint64(q.Stream)).Str("service", q.Service).Str("software", o.Version).
		Str("source", source).Strs("versions", e.versions).Dur("window_ms", q.Window).Dur("followed_ms", e.followed).
		Dur("age_ms", e.age).Int("peers", e.peers).Send()
}
