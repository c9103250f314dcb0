package published

import (
	"fmt"
	"testing"
)

// BenchmarkKept returns the kept states of a mirror whose store was never restored.
func BenchmarkKept(b *testing.B) {
	m := newMirror("", func([]Item) {})
	full := Batch{Revision: 3000, Full: true}
	for i := range 3000 {
		full.Items = append(full.Items, item(fmt.Sprintf("up/%d", i), uint64(i+1)))
	}
	m.Replace(full)
	b.ReportAllocs()
	for b.Loop() {
		m.Kept()
	}
}
