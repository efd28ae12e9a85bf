// Package index finds workers by free capacity without a scan of all workers.
package index

import (
	"math/rand/v2"

	"cairnbay"
)

// none marks a missing child.
const none = -1

// priorityStream is the second word of the PCG seed; it gives the tree random
// numbers of its own. The seed is fixed so that runs repeat.
const priorityStream = 0x7265

// Tree orders workers by their free amount of one dimension. Each node stores
// the largest free amount of every dimension in its subtree, so that a search
// skips the subtrees in which nothing can fit. Slots are small dense integers
// from 0 that the caller assigns to its workers. A Tree is not safe for
// concurrent use.
//
// The tree is a treap: random priorities keep it balanced on average.
//
// Source: Seidel and Aragon, treaps, Algorithmica 16, 1996.
type Tree struct {
	dimension int
	nodes     []node
	root      int32
	random    *rand.Rand
}

type node struct {
	free     [cairnbay.Dimensions]int64
	largest  [cairnbay.Dimensions]int64
	left     int32
	right    int32
	priority uint32
	present  bool
}

// New returns an empty tree ordered by the dimension with the given position in
// cairnbay.Resources.Values.
func New(dimension int) *Tree {
	return &Tree{
		dimension: dimension,
		root:      none,
		random:    rand.New(rand.NewPCG(uint64(dimension), priorityStream)),
	}
}

// Set adds a slot or changes its free amounts.
func (t *Tree) Set(slot int, free cairnbay.Resources) {
	values := free.Values()
	if slot < len(t.nodes) && t.nodes[slot].present {
		if t.nodes[slot].free == values {
			return
		}
		t.Remove(slot)
	}
	for len(t.nodes) <= slot {
		t.nodes = append(t.nodes, node{left: none, right: none})
	}
	t.nodes[slot] = node{
		free: values, largest: values, left: none, right: none,
		priority: t.random.Uint32(), present: true,
	}
	below, above := t.split(t.root, int32(slot))
	t.root = t.merge(t.merge(below, int32(slot)), above)
}

// Remove deletes a slot; an absent slot is ignored.
func (t *Tree) Remove(slot int) {
	if slot >= len(t.nodes) || !t.nodes[slot].present {
		return
	}
	t.root = t.removeFrom(t.root, int32(slot))
	t.nodes[slot].present = false
}

// Ascend visits the slots whose free amounts cover need, in ascending order of
// the tree's dimension, until visit returns false. visit must not change the
// tree.
func (t *Tree) Ascend(need cairnbay.Resources, visit func(slot int) bool) {
	t.ascend(t.root, need.Values(), visit)
}

func (t *Tree) ascend(subtree int32, need [cairnbay.Dimensions]int64, visit func(slot int) bool) bool {
	if subtree == none || !covers(t.nodes[subtree].largest, need) {
		return true
	}
	if !t.ascend(t.nodes[subtree].left, need, visit) {
		return false
	}
	if covers(t.nodes[subtree].free, need) && !visit(int(subtree)) {
		return false
	}
	return t.ascend(t.nodes[subtree].right, need, visit)
}

// less orders slots by free amount of the tree's dimension, then by slot.
func (t *Tree) less(a, b int32) bool {
	first, second := t.nodes[a].free[t.dimension], t.nodes[b].free[t.dimension]
	if first != second {
		return first < second
	}
	return a < b
}

// split divides a subtree into the slots below pivot and those above.
func (t *Tree) split(subtree, pivot int32) (below, above int32) {
	if subtree == none {
		return none, none
	}
	if t.less(subtree, pivot) {
		t.nodes[subtree].right, above = t.split(t.nodes[subtree].right, pivot)
		t.update(subtree)
		return subtree, above
	}
	below, t.nodes[subtree].left = t.split(t.nodes[subtree].left, pivot)
	t.update(subtree)
	return below, subtree
}

// merge joins two subtrees; all slots in below must order before those in above.
func (t *Tree) merge(below, above int32) int32 {
	if below == none {
		return above
	}
	if above == none {
		return below
	}
	if t.nodes[below].priority > t.nodes[above].priority {
		t.nodes[below].right = t.merge(t.nodes[below].right, above)
		t.update(below)
		return below
	}
	t.nodes[above].left = t.merge(below, t.nodes[above].left)
	t.update(above)
	return above
}

func (t *Tree) removeFrom(subtree, slot int32) int32 {
	if subtree == slot {
		return t.merge(t.nodes[subtree].left, t.nodes[subtree].right)
	}
	if t.less(slot, subtree) {
		t.nodes[subtree].left = t.removeFrom(t.nodes[subtree].left, slot)
	} else {
		t.nodes[subtree].right = t.removeFrom(t.nodes[subtree].right, slot)
	}
	t.update(subtree)
	return subtree
}

// update recomputes the largest amounts of a subtree from its children.
func (t *Tree) update(subtree int32) {
	current := &t.nodes[subtree]
	current.largest = current.free
	for _, child := range [...]int32{current.left, current.right} {
		if child == none {
			continue
		}
		for i, amount := range t.nodes[child].largest {
			current.largest[i] = max(current.largest[i], amount)
		}
	}
}

// covers compares all dimensions; it must list every one of cairnbay.Dimensions.
func covers(free, need [cairnbay.Dimensions]int64) bool {
	return free[0] >= need[0] && free[1] >= need[1] && free[2] >= need[2]
}
