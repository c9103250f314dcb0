package detour

import (
	"fmt"
	"testing"
)

// BenchmarkChoose chooses among the hosts of a large fleet. All requests of a host that is cut off wait for it in turn.
func BenchmarkChoose(b *testing.B) {
	var hosts []string
	for n := range 850 {
		hosts = append(hosts, fmt.Sprintf("10.0.%d.%d", n/250, n%250))
	}
	p, _ := newPeers(hosts...)
	for _, host := range hosts {
		p.RecordServed(host + ":7340")
	}
	for b.Loop() {
		p.Choose(nil)
	}
}
