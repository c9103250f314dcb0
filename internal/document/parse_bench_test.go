package document

import (
	"fmt"
	"testing"
)

// largeDocument returns a valid encoded document of at least 80% and at most 100% of MaxBytes.
func largeDocument(tb testing.TB) []byte {
	tb.Helper()
	const teams = 4200
	doc := Document{
		Schema: SchemaVersion, Fleet: "large", Version: 1,
		DataCentres: []DataCentre{{Name: "dc-1", State: StateIn}},
	}
	for n := range teams {
		name := fmt.Sprintf("team-%d", n)
		doc.Teams = append(doc.Teams, Team{
			Name: name, RatePerSecond: 10, Burst: 20, Keys: []Key{{ID: "k", SHA256: HashKey(name)}},
		})
	}
	raw, err := doc.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	if len(raw) > MaxBytes || len(raw) < MaxBytes*8/10 {
		tb.Fatalf("document size out of range: %d bytes", len(raw))
	}
	return raw
}

// BenchmarkParse measures how long a router takes to parse a document near the size limit.
func BenchmarkParse(b *testing.B) {
	raw := largeDocument(b)
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(raw); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkInspect measures how long an operator's tool takes to check the same document.
func BenchmarkInspect(b *testing.B) {
	raw := largeDocument(b)
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		if _, problems := Inspect(raw); len(problems) > 0 {
			b.Fatal(problems)
		}
	}
}
