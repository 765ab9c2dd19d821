// Package timerqueue keeps what has to be done at a time, earliest first. It does no I/O and has no clock.
package timerqueue

import (
	"container/heap"
	"time"
)

// Queue is empty at first. It is not safe for concurrent use.
type Queue[T any] struct{ entries timerHeap[T] }

// Push adds what is due at a time.
func (q *Queue[T]) Push(at time.Time, what T) { heap.Push(&q.entries, entry[T]{at, what}) }

// Pop takes what has been due longest; ok is false where nothing is due yet.
func (q *Queue[T]) Pop(now time.Time) (what T, ok bool) {
	if len(q.entries) == 0 || now.Before(q.entries[0].at) {
		return what, false
	}
	return heap.Pop(&q.entries).(entry[T]).value, true
}

// Next returns the earliest time at which something is due; ok is false where there is nothing.
func (q *Queue[T]) Next() (at time.Time, ok bool) {
	if len(q.entries) == 0 {
		return at, false
	}
	return q.entries[0].at, true
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return len(q.entries) }

type entry[T any] struct {
	at    time.Time
	value T
}

type timerHeap[T any] []entry[T]

func (e timerHeap[T]) Len() int           { return len(e) }
func (e timerHeap[T]) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e timerHeap[T]) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *timerHeap[T]) Push(x any)        { *e = append(*e, x.(entry[T])) }
func (e *timerHeap[T]) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = entry[T]{}
	*e = (*e)[:last]
	return x
}
