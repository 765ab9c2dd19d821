// Package timerqueue is a queue of values by the time at which they are due. It has no I/O and no clock.
package timerqueue

import (
	"container/heap"
	"time"
)

// Queue holds values, the earliest first. The zero Queue is empty. It is not safe for concurrent use.
type Queue[T any] struct{ entries timerHeap[T] }

// Push adds a value that is due at a time.
func (q *Queue[T]) Push(at time.Time, value T) { heap.Push(&q.entries, entry[T]{at, value}) }

// Pop removes and returns the value that has been due longest; ok is false if none is due.
func (q *Queue[T]) Pop(now time.Time) (value T, ok bool) {
	if len(q.entries) == 0 || now.Before(q.entries[0].at) {
		return value, false
	}
	return heap.Pop(&q.entries).(entry[T]).value, true
}

// Next returns the earliest time at which a value is due; ok is false if the queue is empty.
func (q *Queue[T]) Next() (at time.Time, ok bool) {
	if len(q.entries) == 0 {
		return at, false
	}
	return q.entries[0].at, true
}

// Len returns the number of values.
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
