package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/loadshare"
	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/quarantine"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

func encodeMirror(after uint64, b published.Batch) *fleetpb.Mirror {
	m := &fleetpb.Mirror{Complete: b.Revision, After: after, Full: b.Full, Era: b.Era, RestoredAt: b.RestoredAt}
	for _, item := range b.Items {
		m.Items = append(m.Items, &fleetpb.Item{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Removed: item.Removed, Era: item.Era, Lost: item.Lost,
		})
	}
	return m
}

// tenths is the scale of loads in digests.
const tenths = 10

// hundredths is the scale of failure shares in digests.
const hundredths = 100

func encodeLoads(reports []balance.LoadReport) *fleetpb.Loads {
	l := &fleetpb.Loads{}
	for _, r := range reports {
		l.Upstream = append(l.Upstream, r.IncarnationID)
		l.LoadTenths = append(l.LoadTenths, uint32(max(0, r.Load*tenths)))
		l.AgeMs = append(l.AgeMs, uint32(r.Age.Milliseconds()))
		l.FailedHundredths = append(l.FailedHundredths, uint32(max(0, r.FailureShare*hundredths)))
	}
	return l
}

func decodeLoads(l *fleetpb.Loads) []balance.LoadReport {
	n := min(len(l.GetUpstream()), len(l.GetLoadTenths()), len(l.GetAgeMs()), len(l.GetFailedHundredths()))
	reports := make([]balance.LoadReport, n)
	for i := range reports {
		reports[i] = balance.LoadReport{
			IncarnationID: l.GetUpstream()[i], Load: float64(l.GetLoadTenths()[i]) / tenths,
			FailureShare: float64(l.GetFailedHundredths()[i]) / hundredths, Age: time.Duration(l.GetAgeMs()[i]) * time.Millisecond,
		}
	}
	return reports
}

func encodeCrashes(r quarantine.Records, now time.Time) ([]*fleetpb.Strike, []*fleetpb.CrashSet) {
	list := make([]*fleetpb.Strike, len(r.Crashes))
	for i, c := range r.Crashes {
		list[i] = &fleetpb.Strike{Fingerprint: c.Fingerprint, Upstream: c.Upstream, AgeMs: ageMs(now, c.At)}
	}
	sets := make([]*fleetpb.CrashSet, len(r.Sets))
	for i, s := range r.Sets {
		sets[i] = &fleetpb.CrashSet{Upstream: s.Upstream, AgeMs: ageMs(now, s.At), Requests: s.EncodeRequests()}
	}
	return list, sets
}

func decodeCrashes(d *fleetpb.Digest, now time.Time) quarantine.Records {
	var r quarantine.Records
	for _, s := range d.GetStrikes() {
		r.Crashes = append(r.Crashes, quarantine.Crash{Fingerprint: s.GetFingerprint(), Upstream: s.GetUpstream(), At: now.Add(-milliseconds(s.GetAgeMs()))})
	}
	for _, s := range d.GetCrashSets() {
		r.Sets = append(r.Sets, quarantine.NewCrashSet(s.GetUpstream(), now.Add(-milliseconds(s.GetAgeMs())), s.GetRequests()))
	}
	return r
}

// digestMembers returns the members to include in a message to a host that knows the given number of members. A host
// that has just started receives all of them. Any other host receives the members seen most recently, whose state it is
// least likely to have, and as many others in random order, so that every member is sent eventually. The caller holds
// mu.
func (f *Fleet) digestMembers(knownMembers int) []string {
	addresses := slices.Sorted(maps.Keys(f.members)) // map order would make runs with one random seed differ
	if len(addresses) <= maxDigestHosts || float64(knownMembers) < newcomerFraction*float64(len(addresses)) {
		return addresses
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return f.members[b].lastSeen.Compare(f.members[a].lastSeen) })
	others := addresses[maxDigestHosts/2:]
	f.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return addresses[:maxDigestHosts]
}

// digest returns the message to a host of the data centre that knows the given number of members. It holds members,
// crashes, the revision up to which the mirror is complete, and loads if the host needs them.
func (f *Fleet) digest(dataCentreHash uint32, knownMembers int) *fleetpb.Digest {
	complete := f.Mirror.Complete()
	d := &fleetpb.Digest{Mirror: &fleetpb.Mirror{Complete: complete.Revision, After: complete.Revision, Era: complete.Era}}
	now := f.Clock.Now()
	d.Strikes, d.CrashSets = encodeCrashes(f.Crashes.Records(), now)
	d.Prompts = encodePrompts(f.Prompts.Records(), now)
	// Loads calls this fleet to divide limits, so that it must not be called with mu held.
	d.Limits = loadshare.EncodeLimits(f.Loads.LimitReports())
	d.Brittle = loadshare.EncodeBrittle(f.Loads.BrittleReports())
	if f.sendsLoads(dataCentreHash) {
		d.Loads = encodeLoads(f.Loads.Reports())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	d.Known, d.WantsItems = uint32(len(f.members)), f.Store.Disconnected()
	d.Sender = &fleetpb.Host{Address: f.Self, Incarnation: f.Incarnation, Leaving: f.leaving, DataCentre: f.dataCentreHash}
	for _, address := range f.digestMembers(knownMembers) {
		m := f.members[address]
		d.Hosts = append(d.Hosts, &fleetpb.Host{
			Address: address, Incarnation: m.incarnation, HeardAgoMs: uint32(now.Sub(m.lastSeen).Milliseconds()), Leaving: m.leaving,
			DataCentre: m.dataCentreHash,
		})
	}
	return d
}

func decodeMirror(m *fleetpb.Mirror) published.Batch {
	b := published.Batch{Revision: m.GetComplete(), Full: m.GetFull(), Era: m.GetEra(), RestoredAt: m.GetRestoredAt()}
	for _, item := range m.GetItems() {
		b.Items = append(b.Items, published.Item{
			Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Removed: item.GetRemoved(), Era: item.GetEra(), Lost: item.GetLost(),
		})
	}
	return b
}

// completeVersion returns the version up to which another host misses no change. Older builds tell no era; their revisions
// are taken for those of the current era, as they would be between two older builds.
func (f *Fleet) completeVersion(era, revision uint64) published.Version {
	if era == 0 {
		era = f.Mirror.Complete().Era
	}
	return published.Version{Era: era, Revision: revision}
}

func (f *Fleet) mergeMirror(sender string, theirs *fleetpb.Mirror) {
	if len(theirs.GetItems()) == 0 && !theirs.GetFull() && theirs.GetRestoredAt() == 0 {
		return
	}
	b := decodeMirror(theirs)
	if changed := f.Mirror.Merge(theirs.GetAfter(), b); changed > 0 {
		f.Log.Info().Str("event", "items-from-peer").Str("peer", sender).Int("changed", changed).Uint64("era", b.Era).
			Uint64("complete", f.Mirror.CompleteRevision()).Send()
	}
}
