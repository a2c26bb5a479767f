package enginechoice

import (
	"fmt"
	"testing"
)

// BenchmarkPick measures Pick for fleets of several sizes.
func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{12, 300, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			set := newSet(engines)
			query := Query{Pool: "p", Shared: []Part{{ID: "a", Tokens: 90}, {ID: "b", Tokens: 60}}, OwnTokens: 400}
			b.ReportAllocs()
			for b.Loop() {
				if _, found := set.Pick(query, start); !found {
					b.Fatal("no engine")
				}
			}
		})
	}
}

// BenchmarkUpsert measures Upsert of unchanged entries, as in each listing.
func BenchmarkUpsert(b *testing.B) {
	for _, engines := range []int{12, 300, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			set := newSet(engines)
			listed := set.List("p")
			b.ReportAllocs()
			for turn := 0; b.Loop(); turn++ {
				next := listed[turn%len(listed)]
				set.Upsert(next.Entry, next.State, start)
			}
		})
	}
}

// BenchmarkListing measures the first listing of engines, as at the start of a node.
func BenchmarkListing(b *testing.B) {
	for _, engines := range []int{1000, 10_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			for b.Loop() {
				set := NewSet("n1")
				for i := range engines {
					set.Upsert(Entry{ID: fmt.Sprintf("i-%08x", i), Pool: "p", Address: "10.0.0.1:80", Zone: "z1", Slots: 8}, Ready, start)
				}
			}
		})
	}
}
