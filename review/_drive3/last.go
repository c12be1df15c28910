package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// drainTimeout is the least time for which a worker serves after the acknowledgement that it
// drains.
const drainTimeout = 2200 * time.Millisecond

func (wk *worker) setLeaving(patient bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.draining, wk.leaveAfterWork, wk.patient = true, true, patient
}

// isLastList reports whether the next heartbeat lists the last ends of a worker whose time to
// leave has come. Only the goroutine of the worker may call it.
func (wk *worker) isLastList() bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.leaveAfterWork && len(wk.runs) == 0 && !wk.drainAcked.IsZero() && time.Since(wk.drainAcked) >= drainTimeout
}

// leave lists the last ends in a heartbeat and sends the deregistration: once the heartbeat
// is sent, or once it is answered if the worker is patient. Then the worker exits.
func (wk *worker) leave(ctx context.Context) {
	defer close(wk.left)
	wk.sequence++
	buf, err := json.Marshal(wk.report("draining"))
	if err != nil {
		return
	}
	target := wk.nextTarget()
	sent, answered := make(chan struct{}), make(chan struct{})
	var once sync.Once
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { once.Do(func() { close(sent) }) }}
	go func() {
		defer close(answered)
		begun := time.Now()
		status, text := wk.post(httptrace.WithClientTrace(ctx, trace), target, buf)
		wk.led.rec.printf("worker %s: heartbeat with %d ends answered %d after %v: %.200s", wk.id, len(wk.ended), status, time.Since(begun), text)
	}()
	wk.led.rec.printf("worker %s lists %d ends and leaves", wk.id, len(wk.ended))
	if wk.patient {
		<-answered
	} else {
		select {
		case <-sent:
		case <-answered:
		}
	}
	begun := time.Now()
	status, _ := call(http.MethodPost, target, "", "/Instances.Deregister/"+wk.id, map[string]int64{"born": wk.born}, leaveTime)
	wk.led.rec.printf("worker %s: deregistration answered %d after %v", wk.id, status, time.Since(begun))
	<-answered
}

// post sends a heartbeat and returns the status and the text of the answer.
func (wk *worker) post(ctx context.Context, target string, buf []byte) (int, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/Instances.Heartbeat/"+wk.id, bytes.NewReader(buf))
	if err != nil {
		return 0, ""
	}
	req.Header.Set("Content-Type", "application/json")
	rsp, err := wk.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = rsp.Body.Close() }()
	var text bytes.Buffer
	_, _ = text.ReadFrom(rsp.Body)
	return rsp.StatusCode, text.String()
}

// lastCase: workers leave as planned, one after the other, each right after it has listed its
// last ends.
func lastCase(rec *record, trouble bool) (int, error) {
	clu, err := newCluster(rec, 3, "")
	if err != nil {
		return cantRun, err
	}
	defer clu.stopAll()
	if err := clu.startAll(); err != nil {
		return cantRun, err
	}
	if status, _ := clu.operate(http.MethodPost, "/Config.Replace", usualConfiguration(3, true), 20*time.Second); status != 200 {
		return cantRun, errors.New("no configuration")
	}
	led := newLedger(rec)
	var workers []*worker
	defer func() { exitAll(workers) }()
	add := func(num int) {
		wk := newWorker(led, fmt.Sprintf("i-%08d", num), zones[num%3], fmt.Sprintf("r1-%d", num/8), clu.controlAddresses())
		wk.address = fmt.Sprintf("127.92.0.%d:8080", num+1)
		wk.start()
		workers = append(workers, wk)
	}
	for num := range numLastWorkers {
		add(num)
	}
	time.Sleep(3 * time.Second)
	for round := range lastRounds {
		job := map[string]any{"taskSpec": "cpu=100 ms=4000", "steps": []map[string]any{{"count": lastTasks, "cpu": 100, "memoryLimitMb": 100, "estimatedMs": 4000}}}
		if !clu.submit(fmt.Sprintf("%s%016x", watchPrefix, 0xa100+round), job) {
			return cantRun, errors.New("job not accepted")
		}
		if !waitUntil(5*time.Second, func() bool { return led.runningTasks() == lastTasks }) {
			rec.printf("round %d: %d tasks run", round, led.runningTasks())
		}
		pos := led.busiest(workers)
		leaving := workers[pos]
		rec.printf("round %d: worker %s with %d tasks drains", round, leaving.id, len(led.runningOn(leaving.id)))
		leaving.setLeaving(!trouble)
		if !waitUntil(10*time.Second, func() bool { return isClosed(leaving.left) }) {
			rec.printf("round %d: worker %s has not left", round, leaving.id)
		}
		leaving.exit()
		add(numLastWorkers + round)
		workers = append(workers[:pos], workers[pos+1:]...)
		waitUntil(10*time.Second, func() bool { return led.runningTasks() == 0 })
		time.Sleep(500 * time.Millisecond)
		rec.printf("round %d: %d starts of tasks that had ended done", round, led.startedAgain())
	}
	if led.startedAgain() > 0 || led.ranTwice() {
		return broken, nil
	}
	return held, nil
}

// The size of the last case: one worker of sixteen leaves at a time.
const (
	numLastWorkers = 16
	lastRounds     = 8
	lastTasks      = 2000
)

func isClosed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// busiest returns the position of the worker that runs the most tasks.
func (led *ledger) busiest(workers []*worker) int {
	best, most := 0, -1
	for pos, wk := range workers {
		if num := len(led.runningOn(wk.id)); num > most {
			best, most = pos, num
		}
	}
	return best
}
