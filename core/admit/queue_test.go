package admit

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against an overloaded owner that handles only reports whose senders have stopped
// waiting: each sender must be served in turn, with a report that it still waits for.
func TestOverloadedOwnerServesEverySender(t *testing.T) {
	const (
		senders  = 100
		handling = 30 * time.Millisecond
		timeout  = time.Second
		rounds   = 5
	)
	var qu Queue[int, model.Instant]
	served := map[int]int{}
	sentAt, late := make([]model.Instant, senders), 0
	var now model.Instant
	for range rounds * senders {
		now = now.Add(handling)
		for num := range senders {
			// A report that is not answered in time is followed by another.
			if sentAt[num] == 0 || now.Sub(sentAt[num]) >= timeout {
				sentAt[num] = now
				qu.Push(now, NewItem[int](Reports, now, now).WithKey(num, uint64(now)))
			}
		}
		it, ok := qu.Pop(now)
		if !ok {
			t.Fatalf("no report waits at %v", now)
		}
		served[it.key]++
		if now.Sub(it.Value()) >= timeout {
			late++
		}
		sentAt[it.key] = 0
	}
	for num := range senders {
		if served[num] < rounds-1 {
			t.Errorf("sender %d served %d times in %d rounds", num, served[num], rounds)
		}
	}
	if late > 0 || qu.Len() > senders {
		t.Errorf("%d reports handled too late, %d wait for %d senders", late, qu.Len(), senders)
	}
}

// Guards against calls that wait behind all reports, and against a call that waits for a
// turn that comes after its deadline.
func TestCallsTakeTurnsWithReports(t *testing.T) {
	var qu Queue[int, string]
	now := model.Instant(time.Second)
	for num := range 50 {
		qu.Push(now, NewItem[int](Reports, now, "report").WithKey(num, 1))
	}
	for range 20 {
		qu.Push(now, NewItem[int](Calls, now, "call").WithDeadline(now.Add(time.Minute)))
	}
	call := func(left time.Duration, want Verdict) {
		t.Helper()
		if _, got := qu.Push(now, NewItem[int](Calls, now, "call").WithDeadline(now.Add(left))); got != want {
			t.Errorf("call with %v left: verdict %d, want %d", left, got, want)
		}
	}
	// A single delay does not tell how long calls wait.
	call(time.Millisecond, Queued)
	calls := 0
	for range 18 {
		now = now.Add(20 * time.Millisecond)
		if it, _ := qu.Pop(now); it.Value() == "call" {
			calls++
		}
	}
	if calls != 9 {
		t.Errorf("%d of 18 turns for calls, want 9", calls)
	}
	// Twelve calls wait, and one is handled in 40 ms.
	call(450*time.Millisecond, TooLate)
	call(500*time.Millisecond, Queued)
	if got := qu.Oldest(Reports, now); got != model.Instant(time.Second) {
		t.Errorf("oldest report since %v", got)
	}
}

// Guards against a report of a busy owner for each late input, and against none.
func TestWatchReportsEachDelayOnce(t *testing.T) {
	var wa Watch
	changes := 0
	for num := range 1000 {
		age := 20 * time.Millisecond
		if num >= 200 && num < 400 && num%3 > 0 {
			age = time.Second
		}
		if wa.Observe(model.Instant(num)*model.Instant(20*time.Millisecond), age) {
			changes++
		}
	}
	if changes != 2 || wa.Behind() || wa.Worst() != time.Second {
		t.Errorf("%d changes, behind %v, worst %v", changes, wa.Behind(), wa.Worst())
	}
}
