package peers

import (
	"fmt"
	"slices"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// ringCount is the number of rings on each of which a host has its successor as a partner. A graph of several random
// rings spreads changes in a number of steps that grows with the logarithm of the fleet's size. Each host has at most
// twice this number of connections to peers.
const ringCount = 8

// peer is one host to call. A seed's name is unknown until its first response.
type peer struct {
	name    string
	address string
}

// partners returns the peers that the named host calls regularly. In a small fleet these are all peers, else its
// successor on each ring, so that every host is the partner of another one on each ring.
func partners(self string, peers []peer) []peer {
	if len(peers) <= ringCount {
		return peers
	}
	var chosen []peer
	for ring := range ringCount {
		p := successor(loadbalancer.HashKey(fmt.Sprintf("ring-%d", ring)), self, peers)
		if !slices.Contains(chosen, p) {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// successor returns the peer that follows the named host on the ring.
func successor(ring uint64, self string, peers []peer) peer {
	origin := loadbalancer.Score(ring, self)
	best := peers[0]
	// Unsigned subtraction wraps around, so that the end of the ring is followed by its beginning.
	bestDistance := loadbalancer.Score(ring, best.name) - origin
	for _, p := range peers[1:] {
		if distance := loadbalancer.Score(ring, p.name) - origin; distance < bestDistance {
			best, bestDistance = p, distance
		}
	}
	return best
}
