package load

import (
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load/watch"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// entryHosts joins the callers' addresses with the probes that the document names.
func entryHosts(c *Callers, snap *document.Snapshot) []watch.Host {
	var hosts []watch.Host
	for _, address := range c.EntryAddresses {
		h := watch.Host{Name: address, Caller: address}
		if snap != nil {
			for _, seat := range snap.EntryHosts() {
				if seat.CallerAddress == address {
					h.Name, h.Admin = seat.Name, seat.AdminAddress
				}
			}
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// enginePools lists the engines of the document that have an admin address among the stand-ins.
func enginePools(snap *document.Snapshot, standIns *settings.StandIns) []watch.Pool {
	if snap == nil || standIns == nil {
		return nil
	}
	var pools []watch.Pool
	for i := range snap.Pools {
		p := &snap.Pools[i]
		pool := watch.Pool{Name: p.Name, Factor: p.LoadFactor}
		for _, u := range p.Upstreams {
			if e, ok := standIns.Engine(u.Name); ok {
				pool.Upstreams = append(pool.Upstreams, watch.Upstream{Name: u.Name, Admin: e.AdminAddress})
			}
		}
		if len(pool.Upstreams) > 0 {
			pools = append(pools, pool)
		}
	}
	return pools
}
