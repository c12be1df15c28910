package main

import (
	"encoding/json"
	"time"
)

func init() { cases["odd"] = oddHeartbeat }

// oddHeartbeat sends one heartbeat of another writer, in which fields are missing, while
// workers run tasks.
func oddHeartbeat(en *env) int {
	wks := en.workers(2, 8000)
	time.Sleep(2 * time.Second)
	if !en.cl.submit(queues[0], "5c0e7a21d94b36f8", job(12, 6000, 2000)) {
		return failed
	}
	time.Sleep(1500 * time.Millisecond)
	var busy *worker
	for _, wk := range wks {
		if len(wk.runningTasks()) > 0 {
			busy = wk
			break
		}
	}
	if busy == nil {
		en.rec.printf("no worker runs a task")
		return failed
	}
	if en.trouble {
		buf, _ := json.Marshal(map[string]any{
			"serviceName": service, "address": busy.address, "zone": busy.zone, "version": "v1", "slots": 8, "state": "ready", "sequence": 1, "born": time.Now().UnixMilli(),
		})
		status, body := en.cl.send(time.Second, "POST", en.cl.controlOf(en.cl.cores[0]), "", "/Instances.Heartbeat/agent-7", buf)
		en.rec.printf("another writer: POST /Instances.Heartbeat/agent-7 %s -> %d %s", buf, status, body)
	}
	time.Sleep(12 * time.Second)
	status, state := en.cl.state(queues[0], "5c0e7a21d94b36f8")
	en.rec.printf("client: GET -> %d %s", status, state)
	return en.report(en.his.twice())
}
