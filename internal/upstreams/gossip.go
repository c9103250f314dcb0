package upstreams

import (
	"slices"

	"github.com/orioleusher/orioleusher/internal/loadbound"
	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// maxDigestLoads bounds the load reports in one digest, whatever the number of upstreams.
const maxDigestLoads = 8

// AppendState implements peers.Extension. An owner reports only the upstreams that it owns, round-robin over the
// digests, and never relays reports of other hosts.
func (s *Set) AppendState(d *gossippb.Digest) {
	if s.Policy == settings.PolicyDirect {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	for _, name := range s.nextToReport() {
		st := s.states[name]
		d.Loads = append(d.Loads, &gossippb.UpstreamLoad{
			Upstream: name, Sequence: s.sequence, InFlight: uint32(max(0, st.inFlight)), Waiting: uint32(max(0, st.waiting)),
			Cold: st.ramp.Cold(), Down: st.down(),
		})
		s.lastReported = name
	}
}

// nextToReport returns the names of the next owned upstreams to report. The caller holds mu.
func (s *Set) nextToReport() []string {
	var names []string
	for name, st := range s.states {
		if st.owned {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	first, _ := slices.BinarySearch(names, s.lastReported+"\x00")
	names = slices.Concat(names[first:], names[:first])
	return names[:min(maxDigestLoads, len(names))]
}

// MergeState implements peers.Extension. It stores the load reports of the digest's sender for the upstreams that the
// sender owns.
func (s *Set) MergeState(d *gossippb.Digest) {
	s.confirm(d.DocumentVersion)
	for _, l := range d.Loads {
		s.table.Merge(loadbound.Report{
			Upstream: l.Upstream, Incarnation: d.Incarnation, Sequence: l.Sequence, Load: int(l.InFlight),
			Waiting: int(l.Waiting), Cold: l.Cold, Down: l.Down,
		})
	}
}

// Hint is the latest status of an upstream as reported by its owner.
type Hint struct {
	Down bool
	Cold bool
}

// Hint returns the upstream's status, or the zero Hint if there is no fresh report.
func (s *Set) Hint(upstream string) Hint {
	r, fresh := s.table.FreshReport(upstream)
	if !fresh {
		return Hint{}
	}
	return Hint{Down: r.Down, Cold: r.Cold}
}
