// Package fairqueue provides a bounded queue that serves teams by deficit round robin, each in proportion to its
// weight. It uses no clock, lock or network.
package fairqueue

// Queue holds queued items by team. The zero value is not usable; call New. It is not safe for concurrent use.
type Queue[T comparable] struct {
	limit int
	size  int
	teams map[string]*team[T]
	// ring holds the teams with queued items, in the order in which they are served.
	ring []*team[T]
}

type team[T comparable] struct {
	name    string
	weight  int
	deficit int
	items   []T
}

// itemCost is the cost of one item, which is subtracted from the deficit of its team.
const itemCost = 1

// New returns a queue of at most limit items.
func New[T comparable](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, teams: map[string]*team[T]{}}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.size }

// TeamLen returns the number of the team's items.
func (q *Queue[T]) TeamLen(name string) int {
	if t := q.teams[name]; t != nil {
		return len(t.items)
	}
	return 0
}

// Push adds an item of a team; a weight below 1 counts as 1. If the queue is full, the newest item of the team with the
// most items for its weight is evicted and returned. If no team would have more items for its weight than the pushing
// team, the item is rejected and ok is false.
func (q *Queue[T]) Push(name string, weight int, item T) (evicted []T, ok bool) {
	weight = max(1, weight)
	if q.size >= q.limit {
		heaviestTeam := q.heaviest()
		if heaviestTeam == nil || !heavier(len(heaviestTeam.items), heaviestTeam.weight, q.TeamLen(name)+1, weight) {
			return nil, false
		}
		last := heaviestTeam.items[len(heaviestTeam.items)-1]
		q.Remove(heaviestTeam.name, last)
		evicted = []T{last}
	}
	t := q.teams[name]
	if t == nil {
		t = &team[T]{name: name}
		q.teams[name] = t
		q.ring = append(q.ring, t)
	}
	t.weight = weight
	t.items = append(t.items, item)
	q.size++
	return evicted, true
}

// heaviest returns the team with the most items in proportion to its weight.
func (q *Queue[T]) heaviest() *team[T] {
	var found *team[T]
	for _, t := range q.ring {
		if found == nil || heavier(len(t.items), t.weight, len(found.items), found.weight) {
			found = t
		}
	}
	return found
}

// heavier reports whether team A has more items than team B in proportion to their weights.
func heavier(itemsA, weightA, itemsB, weightB int) bool { return itemsA*weightB > itemsB*weightA }

// Pop removes and returns the next item.
func (q *Queue[T]) Pop() (item T, ok bool) {
	if q.size == 0 {
		return item, false
	}
	t := q.ring[0]
	if t.deficit < itemCost {
		t.deficit += t.weight
	}
	t.deficit -= itemCost
	item = t.items[0]
	t.items = t.items[1:]
	q.size--
	switch {
	case len(t.items) == 0:
		q.dropTeam(t)
	case t.deficit < itemCost:
		q.ring = append(q.ring[1:], t)
	}
	return item, true
}

// Remove deletes an item from the queue. It reports whether the item was queued.
func (q *Queue[T]) Remove(name string, item T) bool {
	t := q.teams[name]
	if t == nil {
		return false
	}
	for i, other := range t.items {
		if other != item {
			continue
		}
		t.items = append(t.items[:i:i], t.items[i+1:]...)
		q.size--
		if len(t.items) == 0 {
			q.dropTeam(t)
		}
		return true
	}
	return false
}

// dropTeam removes a team without items from the ring. The team loses its deficit.
func (q *Queue[T]) dropTeam(t *team[T]) {
	delete(q.teams, t.name)
	for i, other := range q.ring {
		if other == t {
			q.ring = append(q.ring[:i:i], q.ring[i+1:]...)
			return
		}
	}
}

// ItemsAhead returns the number of items that are served before a new item of the team, if no other item arrives.
func (q *Queue[T]) ItemsAhead(name string, weight int) int {
	weight = max(1, weight)
	own := q.TeamLen(name)
	rounds := (own + weight) / weight
	ahead := own
	for _, t := range q.ring {
		if t.name != name {
			ahead += min(len(t.items), rounds*t.weight)
		}
	}
	return ahead
}
