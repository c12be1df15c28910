package main

import (
	"errors"
	"net/http"
	"time"
)

// oddCase: another writer sends one heartbeat under the name of a worker, without the lists of
// what runs there.
func oddCase(rec *record, trouble bool) (int, error) {
	clu, led, workers, err := standing(rec, 30)
	if err != nil {
		return cantRun, err
	}
	defer clu.stopAll()
	defer exitAll(workers)
	var victim *worker
	for _, wk := range workers {
		if len(led.runningOn(wk.id)) > 0 {
			victim = wk
		}
	}
	if victim == nil {
		return cantRun, errors.New("no worker has tasks")
	}
	if trouble {
		body := victim.copyOfReport()
		body["sequence"] = body["sequence"].(int) + 1
		delete(body, "running")
		delete(body, "ended")
		status, out := call(http.MethodPost, victim.nextTarget(), "", "/Instances.Heartbeat/"+victim.id, body, time.Second)
		rec.printf("another writer sends a heartbeat of %s without lists: %d %s", victim.id, status, out)
	}
	time.Sleep(10 * time.Second)
	if led.ranTwice() {
		return broken, nil
	}
	return held, nil
}
