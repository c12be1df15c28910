package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["age"] = oldWorkers }

// oldWorkers lets the workers reach an age of 366 days while the system runs. Without the
// disruption they are 300 days old.
func oldWorkers(en *env) int {
	const (
		day    = 24 * time.Hour
		finish = 14 * time.Second
		idle   = 3 * time.Second
	)
	age := 300 * day
	if en.trouble {
		age = 366*day - 8*time.Second
	}
	wks := en.workersOf(2, 8000, age)
	time.Sleep(2 * time.Second)
	if !en.cl.submit(queues[0], "0000000000000001", job(6, 500, 1000)) {
		return failed
	}
	time.Sleep(8 * time.Second)
	const id = "0000000000000002"
	if !en.cl.submit(queues[0], id, job(6, 500, 1000)) {
		return failed
	}
	en.rec.printf("end of the traffic")
	time.Sleep(finish)
	for from := time.Now(); time.Since(from) < idle; time.Sleep(20 * time.Millisecond) {
		for _, wk := range wks {
			if strings.Contains(strings.Join(wk.runningTasks(), " "), id) {
				return held
			}
		}
	}
	_, first := en.cl.state(queues[0], "0000000000000001")
	status, state := en.cl.state(queues[0], id)
	en.rec.printf("client: GET -> %d %s; the job before: %s", status, state, first)
	if state == "completed" {
		return held
	}
	return en.report([]string{fmt.Sprintf("job %s is accepted, is %s and has nothing running %v after the end of the traffic; all workers are free", id, state, finish+idle)})
}
