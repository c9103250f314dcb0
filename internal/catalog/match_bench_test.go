package catalog

import (
	"fmt"
	"testing"
)

// BenchmarkMatch finds the route of a path among many of one host.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{119, 580, 5000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			c := &Config{}
			for i := range n {
				c.Routes = append(c.Routes, Route{Host: "h", Prefix: fmt.Sprintf("/p%06d/", i)})
			}
			c.Index()
			path := fmt.Sprintf("/p%06d/x", n/2)
			b.ReportAllocs()
			for b.Loop() {
				if c.Match("h", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}
