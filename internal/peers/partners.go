package peers

import (
	"fmt"
	"slices"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// ringCount is the number of rings on which each host has one successor as a partner. A graph of several random rings
// spreads news in a number of steps that grows with the logarithm of the fleet's size, and each host keeps no more than
// twice this number of connections to peers.
const ringCount = 8

// peer is one host to speak to. The name of a seed is not known before its first answer.
type peer struct {
	name    string
	address string
}

// partners returns the peers that the named host speaks to regularly: all of them in a small fleet, else its successor
// on each ring, so that every host is some host's partner on each ring.
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
	// Unsigned subtraction wraps, so that the ring's end is followed by its beginning.
	bestDistance := loadbalancer.Score(ring, best.name) - origin
	for _, p := range peers[1:] {
		if distance := loadbalancer.Score(ring, p.name) - origin; distance < bestDistance {
			best, bestDistance = p, distance
		}
	}
	return best
}
