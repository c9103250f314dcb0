package load

import (
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load/watch"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// entryHosts returns a watch.Host for each entry address, with the name and admin address of the entry host in the document
// that has this caller address.
func entryHosts(c *Callers, snap *document.Snapshot) []watch.Host {
	var hosts []watch.Host
	for _, address := range c.EntryAddresses {
		h := watch.Host{Name: address, CallerAddress: address}
		if snap != nil {
			for _, entryHost := range snap.EntryHosts() {
				if entryHost.CallerAddress == address {
					h.Name, h.AdminAddress = entryHost.Name, entryHost.AdminAddress
				}
			}
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// enginePools returns the pools of the document with those of their engines that are stand-ins with an admin address.
// Pools without such an engine are omitted.
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
				pool.Upstreams = append(pool.Upstreams, watch.Upstream{Name: u.Name, AdminAddress: e.AdminAddress})
			}
		}
		if len(pool.Upstreams) > 0 {
			pools = append(pools, pool)
		}
	}
	return pools
}
