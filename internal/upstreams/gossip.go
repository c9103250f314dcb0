package upstreams

import (
	"slices"

	"github.com/orioleusher/orioleusher/internal/loadbound"
	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// maxEntries bounds the loads in one digest, whatever the number of upstreams.
const maxEntries = 8

// Fill implements peers.Extension: an owner reports its own upstreams, in turn, and nothing that it only heard of.
func (s *Set) Fill(d *gossippb.Digest) {
	if s.Policy == settings.PolicyDirect {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	for _, name := range s.turn() {
		st := s.states[name]
		d.Loads = append(d.Loads, &gossippb.UpstreamLoad{
			Upstream: name, Sequence: s.sequence, InFlight: uint32(max(0, st.inFlight)), Waiting: uint32(max(0, st.waiting)),
			Cold: st.ramp.Cold(), Down: st.down(),
		})
		s.next = name
	}
}

// turn returns the names of the next owned upstreams to report. The caller holds mu.
func (s *Set) turn() []string {
	var names []string
	for name, st := range s.states {
		if st.owned {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	first, _ := slices.BinarySearch(names, s.next+"\x00")
	names = slices.Concat(names[first:], names[:first])
	return names[:min(maxEntries, len(names))]
}

// Merge implements peers.Extension. The digest's sender speaks for its own upstreams.
func (s *Set) Merge(d *gossippb.Digest) {
	s.confirm(d.DocumentVersion)
	for _, l := range d.Loads {
		s.table.Merge(loadbound.Report{
			Upstream: l.Upstream, Incarnation: d.Incarnation, Sequence: l.Sequence, Load: int(l.InFlight),
			Waiting: int(l.Waiting), Cold: l.Cold, Down: l.Down,
		})
	}
}

// Hint is what this host last heard of an upstream from its owner.
type Hint struct {
	Down bool
	Cold bool
}

// Hint returns what is known of the upstream; the zero hint if nothing is.
func (s *Set) Hint(upstream string) Hint {
	r, fresh := s.table.FreshReport(upstream)
	if !fresh {
		return Hint{}
	}
	return Hint{Down: r.Down, Cold: r.Cold}
}
