package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["evac"] = staleEvacuation }

// staleEvacuation withdraws an evacuation while a core VM that does not lead is frozen, and
// starts the evacuation again before it wakes.
func staleEvacuation(en *env) int {
	const zone = "musanze"
	wks := en.workers(2, 8000)
	time.Sleep(2 * time.Second)
	lead := en.cl.leader(wks[0])
	if lead < 0 {
		en.rec.printf("no leader")
		return failed
	}
	follower := (lead + 1) % 3
	fv := en.cl.cores[follower]
	en.rec.printf("leader %s, frozen %s", en.cl.cores[lead].name, fv.name)
	if !en.cl.order(lead, "POST", "/Evacuations.Start/"+zone, nil) {
		return failed
	}
	time.Sleep(time.Second)
	if en.trouble {
		fv.signal(syscall.SIGSTOP)
	}
	frozen := time.Now()
	time.Sleep(50 * time.Millisecond)
	if !en.cl.order(follower, "POST", "/Evacuations.Finish/"+zone, nil) {
		return failed
	}
	if !en.cl.order(lead, "POST", "/Evacuations.Start/"+zone, nil) {
		return failed
	}
	acked := time.Now()
	time.Sleep(time.Until(frozen.Add(freeze)))
	fv.signal(syscall.SIGCONT)
	en.rec.printf("%s wakes after %d ms", fv.name, time.Since(frozen).Milliseconds())
	time.Sleep(time.Until(acked.Add(8 * time.Second)))
	if !en.cl.submit(queues[0], "5c0e7a21d94b36f8", job(24, 1000, 2000)) {
		return failed
	}
	time.Sleep(3 * time.Second)
	var lines []string
	en.his.mu.Lock()
	for _, ru := range en.his.runs {
		if after := ru.start.Sub(acked); ru.worker.zone == zone && after > 5*time.Second {
			lines = append(lines, fmt.Sprintf("task %s begins on %s in %s %d ms after the evacuation was acknowledged", ru.task, ru.worker.id, zone, after.Milliseconds()))
		}
	}
	en.his.mu.Unlock()
	return en.report(lines)
}

// freeze is how long the VM is frozen.
const freeze = 1400 * time.Millisecond
