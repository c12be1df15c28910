package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one attempt of a task on a worker.
type run struct {
	worker     *worker
	task       string
	attempt    int
	cpu        int64
	start, end time.Time
	how        string
	number     uint64
	// quiet runs are so many that the record only counts them.
	quiet bool
	// lasts is set for a task that lasts: it is at work from its start on.
	lasts bool
	work  time.Duration
}

// history holds all runs of a case.
type history struct {
	mu   sync.Mutex
	runs []*run
}

// worker is a stand-in of a backend server that follows the users' protocol.
type worker struct {
	rec               *record
	his               *history
	id, address, zone string
	service           string
	born              int64
	cpu               int64
	controls          []string

	mu        sync.Mutex
	epoch     time.Time
	sequence  uint64
	fence     uint64
	lease     time.Time
	running   map[string]*run
	ended     []*run
	number    uint64
	highest   map[string]int
	preferred string
	// cancel ends loop.
	cancel context.CancelFunc
	wake   chan struct{}
	client *http.Client
	dead   bool
}

func newWorker(rec *record, his *history, id, address, zone, service string, cpu int64, controls []string) *worker {
	now := time.Now()
	return &worker{
		rec: rec, his: his, id: id, address: address, zone: zone, service: service, born: now.UnixMilli(), cpu: cpu, controls: controls,
		epoch: now, running: map[string]*run{}, highest: map[string]int{}, wake: make(chan struct{}, 1),
		client: &http.Client{Timeout: time.Second},
	}
}

// heartbeat returns the body of the next heartbeat.
func (wk *worker) heartbeat() map[string]any {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.sequence++
	now := time.Now()
	running := [][]any{}
	for _, ru := range wk.running {
		pct := min(99, int(100*now.Sub(ru.start)/max(ru.work, time.Millisecond)))
		if ru.lasts {
			pct = 100
		}
		running = append(running, []any{ru.task, ru.attempt, "", pct, ru.cpu})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	ended := [][]any{}
	for _, ru := range wk.ended {
		ended = append(ended, []any{ru.number, ru.task, ru.attempt, ru.how, ""})
		if len(ended) == 500 {
			break
		}
	}
	return map[string]any{
		"serviceName": wk.service, "address": wk.address, "zone": wk.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": wk.cpu, "memoryLimitMb": 64000, "gpus": 0}, "labels": []string{"a", "r-" + wk.zone},
		"clockMs": now.Sub(wk.epoch).Milliseconds(), "sequence": wk.sequence, "born": wk.born, "running": running, "ended": ended,
	}
}

// answer is the part of the answer to a heartbeat that a worker uses.
type answer struct {
	HeartbeatAddress string  `json:"heartbeatAddress"`
	HoldDurationMs   int64   `json:"holdDurationMs"`
	AckedThrough     uint64  `json:"ackedThrough"`
	FencingToken     uint64  `json:"fencingToken"`
	Start            [][]any `json:"start"`
	Stop             [][]any `json:"stop"`
	RetryDelayMs     int64   `json:"retryDelayMs"`
}

// loop sends heartbeats until ctx ends.
func (wk *worker) loop(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wk.mu.Lock()
	wk.cancel = cancel
	wk.mu.Unlock()
	go wk.expire(ctx)
	next := 0
	for ctx.Err() == nil {
		delay := 200 * time.Millisecond
		wk.mu.Lock()
		target := wk.preferred
		wk.mu.Unlock()
		if target == "" {
			target = wk.controls[next%len(wk.controls)]
		}
		sent := time.Now()
		ans, err := wk.beat(ctx, target)
		switch {
		case err != nil || time.Since(sent) > time.Second:
			next++
			wk.mu.Lock()
			wk.preferred = ""
			wk.mu.Unlock()
			delay = 20 * time.Millisecond
		default:
			if ans.RetryDelayMs > 0 {
				delay = time.Duration(ans.RetryDelayMs) * time.Millisecond
			}
			wk.obey(sent, ans)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		case <-wk.wake:
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (wk *worker) beat(ctx context.Context, target string) (*answer, error) {
	buf, _ := json.Marshal(wk.heartbeat())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/Instances.Heartbeat/"+wk.id, bytes.NewReader(buf))
	req.Header.Set("Content-Type", "application/json")
	rsp, err := wk.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer rsp.Body.Close()
	body, err := io.ReadAll(rsp.Body)
	if err != nil {
		return nil, err
	}
	if rsp.StatusCode/100 != 2 {
		return nil, fmt.Errorf("status %d", rsp.StatusCode)
	}
	var ans answer
	return &ans, json.Unmarshal(body, &ans)
}

// obey carries out an answer to a heartbeat that was sent at the given time.
func (wk *worker) obey(sent time.Time, ans *answer) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.dead {
		return
	}
	if ans.HeartbeatAddress != "" {
		wk.preferred = ans.HeartbeatAddress
	}
	if ans.FencingToken < wk.fence {
		return
	}
	wk.fence = ans.FencingToken
	wk.ended = slices.DeleteFunc(wk.ended, func(ru *run) bool { return ru.number <= ans.AckedThrough })
	for _, row := range ans.Stop {
		task, attempt := row[0].(string), int(row[1].(float64))
		wk.highest[task] = max(wk.highest[task], attempt)
		if ru := wk.running[task]; ru != nil && ru.attempt == attempt {
			wk.finish(ru, "stopped")
		}
	}
	if ans.HoldDurationMs <= 0 {
		return
	}
	hold := min(time.Duration(ans.HoldDurationMs)*time.Millisecond, 10*time.Second)
	if end := sent.Add(hold); end.After(wk.lease) {
		wk.lease = end
	}
	for _, row := range ans.Start {
		wk.begin(row[0].(string), int(row[1].(float64)), row[2].(string))
	}
}

// begin starts a task, or lists it as refused. The text of the task says its duration and
// size, "ms=1000 cpu=2000". With "poison" it fails after that time, and with "lasts" it is
// shown as at work from its start on.
func (wk *worker) begin(task string, attempt int, spec string) {
	if wk.running[task] != nil {
		return
	}
	ru := &run{worker: wk, task: task, attempt: attempt, start: time.Now(), work: time.Second, cpu: 1000}
	for _, field := range strings.Fields(spec) {
		key, val, _ := strings.Cut(field, "=")
		num, _ := strconv.ParseInt(val, 10, 64)
		switch key {
		case "ms":
			ru.work = time.Duration(num) * time.Millisecond
		case "cpu":
			ru.cpu = num
		}
	}
	used := int64(0)
	for _, other := range wk.running {
		used += other.cpu
	}
	if attempt <= wk.highest[task] || used+ru.cpu > wk.cpu {
		wk.number++
		ru.number, ru.how, ru.end = wk.number, "refused", ru.start
		wk.ended = append(wk.ended, ru)
		return
	}
	wk.running[task] = ru
	wk.his.mu.Lock()
	wk.his.runs = append(wk.his.runs, ru)
	wk.his.mu.Unlock()
	ru.quiet = strings.Contains(spec, "poison")
	ru.lasts = strings.Contains(spec, "lasts")
	if !ru.quiet {
		wk.rec.printf("worker %s begins task %s run %d", wk.id, task, attempt)
	}
	how := "done"
	if ru.quiet {
		how = "failed"
	}
	time.AfterFunc(ru.work, func() {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		if wk.running[task] == ru {
			wk.finish(ru, how)
		}
	})
}

// finish lists the end of a run. wk.mu is held.
func (wk *worker) finish(ru *run, how string) {
	wk.number++
	wk.his.mu.Lock()
	ru.number, ru.how, ru.end = wk.number, how, time.Now()
	wk.his.mu.Unlock()
	wk.highest[ru.task] = max(wk.highest[ru.task], ru.attempt)
	delete(wk.running, ru.task)
	wk.ended = append(wk.ended, ru)
	if !ru.quiet {
		wk.rec.printf("worker %s ends task %s run %d: %s", wk.id, ru.task, ru.attempt, how)
	}
	select {
	case wk.wake <- struct{}{}:
	default:
	}
}

// expire kills everything when the lease has run out.
func (wk *worker) expire(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		wk.mu.Lock()
		if time.Now().After(wk.lease) {
			for _, ru := range wk.running {
				wk.finish(ru, "lapsed")
			}
		}
		wk.mu.Unlock()
	}
}

// token returns the highest fencing token that the worker has seen.
func (wk *worker) token() uint64 {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.fence
}

// crash ends everything that runs; nothing is listed any more.
func (wk *worker) crash() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	for _, ru := range wk.running {
		wk.finish(ru, "crashed")
	}
	wk.lease = time.Time{}
	wk.dead = true
}

// runningTasks returns the names of the tasks that run.
func (wk *worker) runningTasks() []string {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	var out []string
	for task := range wk.running {
		out = append(out, task)
	}
	return out
}
