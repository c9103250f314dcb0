package fairqueue

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func drain(q *Queue[string], n int) map[string]int {
	served := map[string]int{}
	for range n {
		item, ok := q.Pop()
		if !ok {
			break
		}
		served[item[:1]]++
	}
	return served
}

func push(q *Queue[string], team string, weight, n int) (accepted int) {
	for i := range n {
		if _, ok := q.Push(team, weight, fmt.Sprintf("%s%d", team, i)); ok {
			accepted++
		}
	}
	return accepted
}

func TestTeamsAreServedByWeight(t *testing.T) {
	is := is.New(t)
	q := New[string](1000)
	push(q, "a", 1, 300)
	push(q, "b", 2, 300)
	push(q, "c", 3, 300)
	is.Equal(drain(q, 60), map[string]int{"a": 10, "b": 20, "c": 30})
}

func TestOverloadingTeamDoesNotEvictOthers(t *testing.T) {
	is := is.New(t)
	q := New[string](20)
	push(q, "a", 1, 200)
	is.Equal(q.TeamLen("a"), 20)
	is.Equal(push(q, "b", 1, 5), 5) // Each evicts an item of the overloading team.
	is.Equal(q.TeamLen("a"), 15)
	is.Equal(push(q, "a", 1, 10), 0) // The overloading team cannot evict others.
	is.Equal(drain(q, 10), map[string]int{"a": 5, "b": 5})
}

func TestRemovedItemIsNotServed(t *testing.T) {
	is := is.New(t)
	q := New[string](10)
	push(q, "a", 1, 2)
	is.True(q.Remove("a", "a0"))
	is.True(!q.Remove("a", "a0"))
	item, ok := q.Pop()
	is.True(ok)
	is.Equal(item, "a1")
	is.Equal(q.Len(), 0)
}

func TestItemsAheadBoundsItemsServedBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string](1000)
		teams := []string{"a", "b", "c"}
		weights := map[string]int{}
		for _, team := range teams {
			weights[team] = rapid.IntRange(1, 4).Draw(t, "weight "+team)
			push(q, team, weights[team], rapid.IntRange(0, 20).Draw(t, "items "+team))
		}
		expected := q.ItemsAhead("a", weights["a"])
		if _, ok := q.Push("a", weights["a"], "mine"); !ok {
			t.Fatal("the queue has room")
		}
		served := 0
		for item, ok := q.Pop(); ok && item != "mine"; item, ok = q.Pop() {
			served++
		}
		if served > expected {
			t.Fatalf("%d items were served before, want at most %d", served, expected)
		}
	})
}

func TestItemsAreNeitherLostNorServedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string](rapid.IntRange(1, 30).Draw(t, "limit"))
		queued := map[string]string{}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
			item := fmt.Sprintf("%s%d", team, i)
			if rapid.IntRange(0, 2).Draw(t, "act") > 0 {
				evicted, ok := q.Push(team, 1, item)
				for _, e := range evicted {
					delete(queued, e)
				}
				if ok {
					queued[item] = team
				}
			} else if got, ok := q.Pop(); ok {
				if _, known := queued[got]; !known {
					t.Fatalf("%s was served but is not queued", got)
				}
				delete(queued, got)
			}
			if q.Len() != len(queued) {
				t.Fatalf("queue has %d items, want %d", q.Len(), len(queued))
			}
		}
	})
}
