package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["late"] = lateHeartbeat }

// lateHeartbeat lets a worker crash at the moment at which the leader is killed. The worker's
// last heartbeat is seconds late and reaches the next leader.
func lateHeartbeat(en *env) int {
	const (
		contact = 3 * time.Second
		calm    = 7 * time.Second
		least   = 9 * time.Second
		restart = 300 * time.Millisecond
	)
	wks := en.workers(3, 8000)
	time.Sleep(2 * time.Second)
	if !en.cl.submit(queues[0], "5c0e7a21d94b36f8", lastingJob(6, 2000, "ms=3600000 cpu=2000 lasts")) {
		return failed
	}
	time.Sleep(3 * time.Second)
	lead := en.cl.leader(wks[0])
	var dead *worker
	for _, wk := range wks {
		if len(wk.runningTasks()) > 0 {
			dead = wk
		}
	}
	if lead < 0 || dead == nil {
		en.rec.printf("no leader or no worker at work")
		return failed
	}
	token := wks[0].token()
	lost := dead.runningTasks()
	last, _ := json.Marshal(dead.heartbeat())
	dead.cancel()
	dead.crash()
	begin := time.Now()
	en.rec.printf("worker %s crashes with %v", dead.id, lost)
	v := en.cl.cores[lead]
	if en.trouble {
		v.signal(syscall.SIGKILL)
		<-v.done
		en.rec.printf("leader %s is killed", v.name)
		time.Sleep(restart)
		if en.cl.start(v, false) != nil {
			return failed
		}
		for wks[0].token() == token {
			if time.Since(begin) > 10*time.Second {
				en.rec.printf("no next leader")
				return failed
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(1600 * time.Millisecond)
		to := en.cl.cores[en.cl.leader(wks[0])]
		status, body := en.cl.send(time.Second, "POST", en.cl.controlOf(to), "", "/Instances.Heartbeat/"+dead.id, last)
		en.rec.printf("the last heartbeat of %s arrives at %s, %d ms late -> %d %s", dead.id, to.name, time.Since(begin).Milliseconds(), status, body)
	}
	bound := max(least, max(time.Since(begin), restart+contact)+calm)
	time.Sleep(time.Until(begin.Add(18 * time.Second)))
	var lines []string
	en.his.mu.Lock()
	for _, task := range lost {
		gap := time.Since(begin)
		for _, ru := range en.his.runs {
			if ru.task == task && ru.start.After(begin) {
				gap = min(gap, ru.start.Sub(begin))
			}
		}
		en.rec.printf("task %s runs again %d ms after the crash; bound %d ms", task, gap.Milliseconds(), bound.Milliseconds())
		if gap > bound {
			lines = append(lines, fmt.Sprintf("task %s is to last and doesn't run for %d ms, with room for it", strings.Clone(task), gap.Milliseconds()))
		}
	}
	en.his.mu.Unlock()
	return en.report(lines)
}
