package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

func init() { cases["crashloop"] = crashLoop }

// lastingJob returns the body of a job with one step of tasks that last.
func lastingJob(tasks, cpu int, spec string) []byte {
	buf, _ := json.Marshal(map[string]any{
		"taskSpec": spec,
		"steps":    []map[string]any{{"count": tasks, "cpu": cpu, "memoryLimitMb": 256, "estimatedMs": 500, "longRunning": true}},
	})
	return buf
}

// chainJob returns the body of a job of steps with one task each, one after the other.
func chainJob(steps, ms, cpu int) []byte {
	var lst []map[string]any
	for i := range steps {
		st := map[string]any{"count": 1, "cpu": cpu, "memoryLimitMb": 256, "estimatedMs": ms}
		if i > 0 {
			st["after"] = []int{i - 1}
		}
		lst = append(lst, st)
	}
	buf, _ := json.Marshal(map[string]any{"taskSpec": fmt.Sprintf("ms=%d cpu=%d", ms, cpu), "steps": lst})
	return buf
}

// crashLoop hands in three jobs of tasks that last and always fail, three in sixty.
func crashLoop(en *env) int {
	const (
		finish = 14 * time.Second
		idle   = 3 * time.Second
	)
	wks := en.workers(1, 32000)
	time.Sleep(2 * time.Second)
	// Without the disruption the tasks of the three jobs last.
	lasting := "ms=3600000 cpu=1000 lasts"
	if en.trouble {
		lasting = "ms=150 cpu=1000 poison lasts"
	}
	for i := range 60 {
		id := fmt.Sprintf("%016x", i+1)
		switch {
		case i%20 == 0:
			en.cl.submit(queues[0], id, lastingJob(12, 1000, lasting))
		case i >= 54:
			en.cl.submit(queues[1], id, chainJob(5, 4000, 1000))
		default:
			en.cl.submit(queues[1], id, job(2, 300, 1000))
		}
		time.Sleep(100 * time.Millisecond)
	}
	end := time.Now()
	en.rec.printf("end of the traffic")
	time.Sleep(finish)
	since := map[string]time.Time{}
	worst := map[string]time.Duration{}
	completed := map[string]bool{}
	peak := 0.0
	for time.Since(end) < finish+30*time.Second {
		now := time.Now()
		running := map[string]bool{}
		used, total := int64(0), int64(0)
		for _, wk := range wks {
			wk.mu.Lock()
			total += wk.cpu
			for task, ru := range wk.running {
				id, _, _ := strings.Cut(task, ".")
				running[id] = true
				used += ru.cpu
			}
			wk.mu.Unlock()
		}
		peak = max(peak, float64(used)/float64(total))
		for i := 54; i < 60; i++ {
			id := fmt.Sprintf("%016x", i+1)
			if running[id] || completed[id] {
				delete(since, id)
				continue
			}
			if _, state := en.cl.state(queues[1], id); state == "completed" {
				completed[id] = true
				en.rec.printf("job %s completed", id)
				continue
			}
			if since[id].IsZero() {
				since[id] = now
			}
			worst[id] = max(worst[id], now.Sub(since[id]))
		}
		time.Sleep(20 * time.Millisecond)
	}
	failures := map[string]int{}
	en.his.mu.Lock()
	for _, ru := range en.his.runs {
		if ru.how == "failed" {
			failures[strings.Split(ru.task, ".")[0]]++
		}
	}
	en.his.mu.Unlock()
	en.rec.printf("runs that ended failed, by job: %v", failures)
	var lines []string
	for i := 54; i < 60; i++ {
		id := fmt.Sprintf("%016x", i+1)
		en.rec.printf("job %s: longest time with nothing running %d ms, completed %v", id, worst[id].Milliseconds(), completed[id])
		if worst[id] >= idle && peak < 0.5 {
			lines = append(lines, fmt.Sprintf("job %s has nothing running for %d ms, %d s after the end of the traffic; at most %.0f%% of the capacity is in use", id, worst[id].Milliseconds(), int(finish.Seconds()), 100*peak))
		}
	}
	return en.report(lines)
}
