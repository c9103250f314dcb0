package direct

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/quarantine"
)

const (
	// confirmAfter is the time between a broken answer and the look whether its upstream died: a process that dies closes
	// its connections before its listener.
	confirmAfter = 30 * time.Millisecond
	// confirmTimeout bounds that look.
	confirmTimeout = 300 * time.Millisecond
)

// QuarantineLimits hold a request back that three upstreams died of within a minute, with no success in between. A broken
// answer and a refused connection after it are less certain than what an owner sees.
var QuarantineLimits = quarantine.Limits{CrashThreshold: 3, Lifetime: time.Minute}

// deaths finds out whether upstreams died whose answers broke, and notes which requests ran on them.
type deaths struct {
	table *quarantine.Table
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	clock clockwork.Clock
	log   zerolog.Logger

	mu sync.Mutex
	// running are the requests whose answers broke at an upstream that is being looked at.
	running map[catalog.UpstreamKey][]uint64
}

// broke notes that an answer of the upstream broke. The first one starts a look at the upstream; those that follow
// meanwhile share it.
func (d *deaths) broke(u *catalog.Upstream, fingerprint uint64) {
	key := u.Key()
	d.mu.Lock()
	defer d.mu.Unlock()
	looking := len(d.running[key]) > 0
	d.running[key] = append(d.running[key], fingerprint)
	if !looking {
		d.clock.AfterFunc(confirmAfter, func() { d.look(key) })
	}
}

// look strikes the requests that ran on the upstream if it refuses connections.
func (d *deaths) look(key catalog.UpstreamKey) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	conn, err := d.dial(ctx, "tcp", key.Address)
	if err == nil {
		_ = conn.Close()
	}
	d.mu.Lock()
	fingerprints := d.running[key]
	delete(d.running, key)
	d.mu.Unlock()
	if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET) {
		return
	}
	d.log.Warn().Str("event", "upstream-died").Str("upstream", key.ID).Str("peer", key.Address).Int("requests", len(fingerprints)).Send()
	for _, fingerprint := range fingerprints {
		d.table.RecordCrash(fingerprint, key.ID)
	}
}

// hold refuses requests that upstreams died of.
type hold struct {
	table *quarantine.Table
}

// Name implements Filter.
func (*hold) Name() string { return stepHold }

// Handle implements Filter.
func (f *hold) Handle(ctx context.Context, x *Request, next Next) error {
	x.fingerprint = quarantine.Fingerprint(x.team(), x.HTTP.RequestURI, x.Body)
	if err := f.check(x); err != nil {
		return err
	}
	err := next(ctx, x)
	if verdict, _ := f.table.Check(x.fingerprint); verdict != quarantine.Clear && err == nil && x.out.status < failedStatus {
		// What succeeds kills nobody.
		f.table.Lift(x.fingerprint)
	}
	return err
}

func (f *hold) check(x *Request) error {
	verdict, left := f.table.Check(x.fingerprint)
	if verdict != quarantine.Held {
		return nil
	}
	return outcome.Unavailable(stepHold, "quarantined", "upstreams died while this request ran").WithRetryAfter(left)
}
