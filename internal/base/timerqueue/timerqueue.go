// Package timerqueue implements a queue of values ordered by the time at which they are due. It does no I/O and reads no clock.
package timerqueue

import (
	"container/heap"
	"time"
)

// Queue holds values, the earliest due time first. The zero Queue is empty. A Queue is not safe for concurrent use.
type Queue[T any] struct{ entries timerHeap[T] }

// Push adds a value that is due at the given time.
func (q *Queue[T]) Push(at time.Time, value T) { heap.Push(&q.entries, entry[T]{at, value}) }

// Pop removes and returns the value with the earliest due time. If no value is due by now, ok is false.
func (q *Queue[T]) Pop(now time.Time) (value T, ok bool) {
	if len(q.entries) == 0 || now.Before(q.entries[0].at) {
		return value, false
	}
	return heap.Pop(&q.entries).(entry[T]).value, true
}

// Next returns the earliest due time in the queue. If the queue is empty, ok is false.
func (q *Queue[T]) Next() (at time.Time, ok bool) {
	if len(q.entries) == 0 {
		return at, false
	}
	return q.entries[0].at, true
}

// Len returns the number of values in the queue, due or not.
func (q *Queue[T]) Len() int { return len(q.entries) }

type entry[T any] struct {
	at    time.Time
	value T
}

// timerHeap implements heap.Interface.
type timerHeap[T any] []entry[T]

func (h timerHeap[T]) Len() int           { return len(h) }
func (h timerHeap[T]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap[T]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap[T]) Push(x any)        { *h = append(*h, x.(entry[T])) }
func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = entry[T]{}
	*h = (*h)[:last]
	return x
}
