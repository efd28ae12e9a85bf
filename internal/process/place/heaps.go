package place

import (
	"container/heap"
	"time"
)

// groupHeap orders the groups of a subqueue; it implements heap.Interface.
type groupHeap []*group

func (h groupHeap) Len() int { return len(h) }

func (h groupHeap) Less(i, j int) bool {
	// groupFor pushes a group before its first job is added; until then the
	// group sorts last.
	if len(h[i].jobs) == 0 || len(h[j].jobs) == 0 {
		return len(h[i].jobs) > len(h[j].jobs)
	}
	return h[i].before(h[j])
}

func (h groupHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *groupHeap) Push(added any) {
	pushed := added.(*group)
	pushed.heapIndex = len(*h)
	*h = append(*h, pushed)
}

func (h *groupHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return popped
}

// jobHeap orders the jobs of a group by their policy; it implements
// heap.Interface.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(i, j int) bool {
	return h[i].policy.Less(h[i].queued(), h[j].queued())
}

func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *jobHeap) Push(added any) {
	pushed := added.(*job)
	pushed.heapIndex = len(*h)
	*h = append(*h, pushed)
}

func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return popped
}

// timer is a time at which a job or worker must be checked again.
type timer struct {
	at     time.Duration
	job    *job
	worker *worker
}

// timerHeap orders timers by time; it implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(added any)    { *h = append(*h, added.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return popped
}

func (h *timerHeap) add(added timer) { heap.Push(h, added) }

// popDue removes and returns the first timer that is due; ok is false if none is.
func (h *timerHeap) popDue(now time.Duration) (first timer, ok bool) {
	if len(*h) == 0 || (*h)[0].at > now {
		return timer{}, false
	}
	return heap.Pop(h).(timer), true
}
