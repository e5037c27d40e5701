package kcqueue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against a due request that is promoted too late, and against requests
// that are lost or returned twice.
func TestNoDueRequestWaitsBehindAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const margin = 50
		q := New[int](Options{MaxWaiting: 20, PromotionMarginMs: margin})
		waiting := make(map[int]kcclock.Millis)
		now := kcclock.Millis(0)
		for id := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += kcclock.Millis(rapid.IntRange(0, 20).Draw(t, "dt"))
			if rapid.Bool().Draw(t, "push") {
				start := now + kcclock.Millis(rapid.IntRange(-50, 500).Draw(t, "start"))
				waiting[id] = start
				shed, full := q.Push(Item[int]{
					Value: id, LatestStart: start, Workspace: fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "ws")),
				})
				if full {
					delete(waiting, shed.Value)
				}
			} else if it, ok := q.Pop(now); ok {
				got, known := waiting[it.Value]
				if !known {
					t.Fatalf("request %d was returned twice", it.Value)
				}
				delete(waiting, it.Value)
				for other, start := range waiting {
					if start-margin <= now && start < got {
						t.Fatalf("request %d with latest start %d was taken before %d, due at %d", it.Value, got, other, start)
					}
				}
			}
			if q.Len() != len(waiting) || q.Len() > 20 {
				t.Fatalf("length %d, want %d waiting requests", q.Len(), len(waiting))
			}
		}
	})
}

// Guards against a large workspace that takes the capacity of the others while
// nothing is due, and against a weight that has no effect.
func TestFairShares(t *testing.T) {
	q := New[int](Options{MaxWaiting: 1000, PromotionMarginMs: 0})
	for i := range 300 {
		for ws, weight := range map[string]float64{"large": 1, "small": 1, "paid": 2} {
			if ws != "large" && i >= 80 {
				continue
			}
			q.Push(Item[int]{Value: i, LatestStart: kcclock.Hour, Workspace: ws, Weight: weight})
		}
	}
	got := make(map[string]int)
	for range 80 {
		it, _ := q.Pop(0)
		got[it.Workspace]++
	}
	if got["large"] != 20 || got["small"] != 20 || got["paid"] != 40 {
		t.Errorf("capacity was divided %v, want 20, 20 and 40 for weights 1, 1 and 2", got)
	}
}

// Guards against shedding urgent requests, or those of a small workspace, while
// a flood of patient requests from another workspace waits.
func TestShedsPatientWorkOfTheLargest(t *testing.T) {
	q := New[string](Options{MaxWaiting: 4})
	for i, at := range []kcclock.Millis{100, 900, 500} {
		q.Push(Item[string]{Value: fmt.Sprint("flood", i), LatestStart: at, Workspace: "flood"})
	}
	q.Push(Item[string]{Value: "patient", LatestStart: 5000, Workspace: "small"})
	shed, full := q.Push(Item[string]{Value: "urgent", LatestStart: 10, Workspace: "small"})
	if !full || shed.Value != "flood1" {
		t.Errorf("shed %q, want flood1", shed.Value)
	}
}

// Guards against requests that are removed twice or not at all, and against expired
// ones that use the share of their workspace.
func TestRemovedAndExpiredRequests(t *testing.T) {
	q := New[int](Options{MaxWaiting: 100})
	for i := range 9 {
		q.Push(Item[int]{Value: i, LatestStart: 100, Workspace: fmt.Sprint("w", i%3)})
	}
	is4 := func(v int) bool { return v == 4 }
	if !q.Remove("w1", 100, is4) || q.Remove("w1", 100, is4) || q.Remove("other", 100, is4) || q.Len() != 8 {
		t.Errorf("%d requests after one was removed, want 8", q.Len())
	}
	if _, ok := q.PopExpired(99); ok {
		t.Error("a request has expired before its latest start")
	}
	for want := 7; want > 2; want-- {
		if _, ok := q.PopExpired(100); !ok || q.Len() != want {
			t.Fatalf("%d requests are left, want %d", q.Len(), want)
		}
	}
	q.Charge("w0", 5, 1)
	q.Push(Item[int]{Value: 100, LatestStart: 900, Workspace: "w0"})
	q.Push(Item[int]{Value: 101, LatestStart: 900, Workspace: "w9"})
	for q.Len() > 2 {
		q.PopExpired(100)
	}
	if it, _ := q.Pop(100); it.Value != 101 {
		t.Errorf("request %d is next, want that of the workspace that was not charged", it.Value)
	}
}
