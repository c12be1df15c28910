package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// idCase: a client that is not under control hands in a small job under an ID with a dot.
func idCase(rec *record, trouble bool) (int, error) {
	clu, led, workers, err := standing(rec, 3)
	if err != nil {
		return cantRun, err
	}
	defer clu.stopAll()
	defer exitAll(workers)
	if trouble {
		job := map[string]any{"taskSpec": "cpu=2000 ms=600000", "steps": []map[string]any{{"count": 40, "cpu": 2000, "memoryLimitMb": 500, "estimatedMs": 1000}}}
		status, out := call(http.MethodPost, clu.frontAddress(0), host, prefix+"5c0e7a21.94b36f8", job, 3*time.Second)
		rec.printf("client POST of a job with the ID 5c0e7a21.94b36f8: %d %s", status, out)
		time.Sleep(15 * time.Second)
	}
	// An ordinary caller.
	id := "00000000000000b1"
	job := map[string]any{"taskSpec": "cpu=4000 ms=1000", "steps": []map[string]any{{"count": 10, "cpu": 4000, "memoryLimitMb": 1000, "estimatedMs": 1000}}}
	if !clu.submit(prefix+id, job) {
		return cantRun, errors.New("ordinary job not accepted")
	}
	state := ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && state != "completed"; time.Sleep(500 * time.Millisecond) {
		_, out := call(http.MethodGet, clu.frontAddress(1), host, prefix+id, nil, 3*time.Second)
		var msg struct{ State string }
		_ = json.Unmarshal(out, &msg)
		state = msg.State
	}
	rec.printf("ordinary job %s: %s; tasks at work on the workers: %s", id, state, fmt.Sprint(led.runningTasks()))
	if led.ranTwice() || state != "completed" {
		return broken, nil
	}
	return held, nil
}
