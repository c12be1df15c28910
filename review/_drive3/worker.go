package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// ledger sees all runs of all workers.
type ledger struct {
	rec *record
	mu  sync.Mutex
	// running has the workers that run each task now.
	running map[string]map[string]int
	// starts counts the starts of each task.
	starts map[string]int
	// ended counts the ends of each task by how they ended.
	ended map[string]map[string]int
	// twice are the tasks that ran on two workers at the same time.
	twice []string
	// again are the tasks that started after a run of theirs had ended done.
	again []string
}

func newLedger(rec *record) *ledger {
	return &ledger{rec: rec, running: map[string]map[string]int{}, starts: map[string]int{}, ended: map[string]map[string]int{}}
}

func (led *ledger) started(task, worker string, attempt int) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.starts[task]++
	if led.running[task] == nil {
		led.running[task] = map[string]int{}
	}
	for other, run := range led.running[task] {
		if other != worker {
			led.rec.printf("TWICE %s runs as %d on %s while it runs as %d on %s", task, attempt, worker, run, other)
			led.twice = append(led.twice, task)
		}
	}
	if led.ended[task]["done"] > 0 {
		led.rec.printf("TWICE %s starts as %d on %s after it has ended done", task, attempt, worker)
		led.again = append(led.again, task)
	}
	led.running[task][worker] = attempt
	led.rec.printf("worker %s starts %s run %d", worker, task, attempt)
}

func (led *ledger) stopped(task, worker string, attempt int, how string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	if led.running[task][worker] == attempt {
		delete(led.running[task], worker)
	}
	if led.ended[task] == nil {
		led.ended[task] = map[string]int{}
	}
	led.ended[task][how]++
	led.rec.printf("worker %s ends %s run %d: %s", worker, task, attempt, how)
}

// runningOn returns the tasks that run on a worker.
func (led *ledger) runningOn(worker string) []string {
	led.mu.Lock()
	defer led.mu.Unlock()
	var out []string
	for task, on := range led.running {
		if _, ok := on[worker]; ok {
			out = append(out, task)
		}
	}
	return out
}

// runningTasks returns the number of tasks that run.
func (led *ledger) runningTasks() int {
	led.mu.Lock()
	defer led.mu.Unlock()
	num := 0
	for _, on := range led.running {
		if len(on) > 0 {
			num++
		}
	}
	return num
}

// ranTwice reports whether any task ran on two workers at the same time.
func (led *ledger) ranTwice() bool {
	led.mu.Lock()
	defer led.mu.Unlock()
	return len(led.twice) > 0
}

// startedAgain returns the number of starts of tasks that had ended done.
func (led *ledger) startedAgain() int {
	led.mu.Lock()
	defer led.mu.Unlock()
	return len(led.again)
}

// lengthOf and sizeOf read from the text of a task how long it works, in milliseconds, and what
// it takes of a worker, in thousandths of a processor, such as "cpu=2000 ms=300".
var (
	lengthOf = regexp.MustCompile(`ms=(\d+)`)
	sizeOf   = regexp.MustCompile(`cpu=(\d+)`)
)

// cpuOf returns what a task takes of a worker, which its job declares too.
func cpuOf(spec string) int64 {
	match := sizeOf.FindStringSubmatch(spec)
	if match == nil {
		return 0
	}
	num, _ := strconv.ParseInt(match[1], 10, 64)
	return num
}

// run is a task that runs on a worker.
type run struct {
	attempt int
	spec    string
	begun   time.Time
	length  time.Duration
	// lasts is set for a task without an end of its own.
	lasts bool
	// stopAt is when an ordered stop takes effect.
	stopAt time.Time
}

// Bounds of the workers.
const (
	maxHold      = 10 * time.Second
	stopGrace    = 100 * time.Millisecond
	beatTimeout  = time.Second
	beatInterval = 1500 * time.Millisecond
)

// worker is a sound worker of the platform in the mode "heartbeat". Its goroutine owns the
// fields that no mutex guards.
type worker struct {
	id, zone, rack, address string
	born                    int64
	begun                   time.Time
	addresses               []string
	led                     *ledger
	cpu, memory             int64

	mu sync.Mutex
	// draining is set once the worker is about to leave.
	draining bool
	// silent stops the heartbeats without an end of the worker.
	silent bool
	// target is the address of the next heartbeat.
	target string
	// lastReport is the body of the last heartbeat.
	lastReport map[string]any
	// drainAcked is when a heartbeat that says draining was acknowledged.
	drainAcked time.Time
	// leaveAfterWork makes the worker leave once it has drained and listed its last ends, and
	// patient makes it wait for the answer to that list before it sends its deregistration.
	leaveAfterWork, patient bool
	// left is closed when the deregistration has been answered.
	left chan struct{}

	sequence int
	next     int
	runs     map[string]*run
	ended    [][]any
	lastEnd  int
	// barred has the highest run of each task that was stopped or has ended.
	barred map[string]int
	fence  uint64
	lease  time.Time
	client *http.Client
	cancel context.CancelFunc
	done   chan struct{}
}

func newWorker(led *ledger, id, zone, rack string, addresses []string) *worker {
	return &worker{
		id: id, zone: zone, rack: rack, address: "127.92.0.1:" + strconv.Itoa(8000+len(id)), addresses: addresses, led: led, cpu: 32000, memory: 128000,
		runs: map[string]*run{}, barred: map[string]int{}, client: &http.Client{Timeout: beatTimeout, Transport: &http.Transport{}}, done: make(chan struct{}), left: make(chan struct{}),
	}
}

// start starts the worker.
func (wk *worker) start() {
	ctx, cancel := context.WithCancel(context.Background())
	wk.cancel, wk.begun, wk.born = cancel, time.Now(), time.Now().UnixMilli()
	wk.target = wk.addresses[0]
	go wk.loop(ctx)
}

// exit ends the worker and with it all that it runs. It may be called more than once.
func (wk *worker) exit() {
	wk.cancel()
	<-wk.done
}

func (wk *worker) setDraining() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.draining = true
}

func (wk *worker) setSilent(silent bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.silent = silent
}

func (wk *worker) ackedDrain() time.Time {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.drainAcked
}

func (wk *worker) nextTarget() string {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.target
}

func (wk *worker) loop(ctx context.Context) {
	defer close(wk.done)
	defer func() {
		for task, ru := range wk.runs {
			wk.led.stopped(task, wk.id, ru.attempt, "gone with the worker")
		}
	}()
	due := time.Now()
	for ctx.Err() == nil {
		if wk.advance() {
			due = earlier(due, time.Now().Add(50*time.Millisecond))
		}
		wk.mu.Lock()
		silent := wk.silent
		wk.mu.Unlock()
		if !silent && !time.Now().Before(due) {
			if wk.isLastList() {
				wk.leave(ctx)
				return
			}
			due = wk.beat(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// advance ends the runs whose time has come, and all runs if the lease has ended. It reports
// whether any run has ended.
func (wk *worker) advance() bool {
	now, any := time.Now(), false
	for task, ru := range wk.runs {
		switch {
		case now.After(wk.lease):
			wk.end(task, "lapsed")
		case !ru.stopAt.IsZero() && now.After(ru.stopAt):
			wk.end(task, "stopped")
		case !ru.lasts && now.Sub(ru.begun) >= ru.length:
			wk.end(task, "done")
		default:
			continue
		}
		any = true
	}
	return any
}

// end ends a run and lists its end.
func (wk *worker) end(task, how string) {
	ru := wk.runs[task]
	delete(wk.runs, task)
	wk.barred[task] = max(wk.barred[task], ru.attempt)
	wk.list(task, ru.attempt, how)
	wk.led.stopped(task, wk.id, ru.attempt, how)
}

func (wk *worker) list(task string, attempt int, how string) {
	wk.lastEnd++
	wk.ended = append(wk.ended, []any{wk.lastEnd, task, attempt, how, ""})
}

// percent returns the progress of a run.
func (ru *run) percent() int {
	if ru.lasts {
		return min(100, int(time.Since(ru.begun)*100/(300*time.Millisecond)))
	}
	return min(99, int(time.Since(ru.begun)*100/max(ru.length, time.Millisecond)))
}

// answer is the response to a heartbeat.
type answer struct {
	HeartbeatAddress string  `json:"heartbeatAddress"`
	HoldDurationMs   int64   `json:"holdDurationMs"`
	AckedThrough     int     `json:"ackedThrough"`
	FencingToken     uint64  `json:"fencingToken"`
	Start            [][]any `json:"start"`
	Stop             [][]any `json:"stop"`
	RetryDelayMs     int64   `json:"retryDelayMs"`
}

// beat sends one heartbeat and returns when the next one is due.
func (wk *worker) beat(ctx context.Context) time.Time {
	wk.mu.Lock()
	state, target := "ready", wk.target
	if wk.draining {
		state = "draining"
	}
	wk.mu.Unlock()
	wk.sequence++
	body := wk.report(state)
	wk.mu.Lock()
	wk.lastReport = body
	wk.mu.Unlock()
	buf, err := json.Marshal(body)
	if err != nil {
		return time.Now().Add(beatInterval)
	}
	sent := time.Now()
	ans, ok := wk.send(ctx, target, buf)
	if !ok || time.Since(sent) > beatTimeout {
		wk.mu.Lock()
		wk.next++
		wk.target = wk.addresses[wk.next%len(wk.addresses)]
		wk.mu.Unlock()
		return time.Now().Add(50 * time.Millisecond)
	}
	wk.mu.Lock()
	if state == "draining" && wk.drainAcked.IsZero() {
		wk.drainAcked = time.Now()
		wk.led.rec.printf("worker %s: draining acknowledged", wk.id)
	}
	if ans.HeartbeatAddress != "" {
		wk.target = ans.HeartbeatAddress
	}
	wk.mu.Unlock()
	wk.obey(sent, ans)
	if ans.RetryDelayMs > 0 {
		return time.Now().Add(time.Duration(ans.RetryDelayMs) * time.Millisecond)
	}
	return time.Now().Add(beatInterval)
}

// report returns the body of a heartbeat. Only the goroutine of the worker may call it.
func (wk *worker) report(state string) map[string]any {
	running := [][]any{}
	for task, ru := range wk.runs {
		running = append(running, []any{task, ru.attempt, "", ru.percent(), 0})
	}
	body := map[string]any{
		"serviceName": serviceName, "address": wk.address, "zone": wk.zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"capacity": map[string]int64{"cpu": wk.cpu, "memoryLimitMb": wk.memory, "gpus": 0}, "labels": []string{"a", wk.rack},
		"clockMs": time.Since(wk.begun).Milliseconds(), "sequence": wk.sequence, "born": wk.born, "running": running, "ended": wk.ended[:min(500, len(wk.ended))],
	}
	if state == "draining" {
		body["remainingMs"] = 2000
	}
	return body
}

// copyOfReport returns a copy of the last heartbeat.
func (wk *worker) copyOfReport() map[string]any {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return maps.Clone(wk.lastReport)
}

// send sends a heartbeat and returns the answer to it.
func (wk *worker) send(ctx context.Context, target string, buf []byte) (answer, bool) {
	var ans answer
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/Instances.Heartbeat/"+wk.id, bytes.NewReader(buf))
	if err != nil {
		return ans, false
	}
	req.Header.Set("Content-Type", "application/json")
	rsp, err := wk.client.Do(req)
	if err != nil {
		return ans, false
	}
	defer func() { _ = rsp.Body.Close() }()
	out, err := io.ReadAll(rsp.Body)
	if err != nil || rsp.StatusCode < 200 || rsp.StatusCode > 299 {
		return ans, false
	}
	if len(out) > 0 && json.Unmarshal(out, &ans) != nil {
		return ans, false
	}
	return ans, true
}

// obey carries out an answer, unless its fencing token is too low.
func (wk *worker) obey(sent time.Time, ans answer) {
	if ans.FencingToken < wk.fence {
		return
	}
	wk.fence = ans.FencingToken
	if ans.HoldDurationMs > 0 {
		if end := sent.Add(min(time.Duration(ans.HoldDurationMs)*time.Millisecond, maxHold)); end.After(wk.lease) {
			wk.lease = end
		}
	}
	left := wk.ended[:0]
	for _, row := range wk.ended {
		if row[0].(int) > ans.AckedThrough {
			left = append(left, row)
		}
	}
	wk.ended = left
	for _, row := range ans.Stop {
		wk.orderStop(row[0].(string), int(row[1].(float64)))
	}
	if ans.HoldDurationMs <= 0 {
		return
	}
	for _, row := range ans.Start {
		wk.orderStart(row[0].(string), int(row[1].(float64)), row[2].(string))
	}
}

func (wk *worker) orderStop(task string, attempt int) {
	if ru := wk.runs[task]; ru != nil && ru.attempt == attempt {
		if ru.stopAt.IsZero() {
			ru.stopAt = time.Now().Add(stopGrace)
		}
		return
	}
	wk.barred[task] = max(wk.barred[task], attempt)
}

// hasRoom reports whether a task with a text fits beside the others.
func (wk *worker) hasRoom(spec string) bool {
	sum := cpuOf(spec)
	for _, ru := range wk.runs {
		sum += cpuOf(ru.spec)
	}
	return sum <= wk.cpu
}

func (wk *worker) orderStart(task string, attempt int, spec string) {
	if ru := wk.runs[task]; ru != nil && ru.attempt == attempt {
		return
	}
	if wk.runs[task] != nil || attempt <= wk.barred[task] || !wk.hasRoom(spec) {
		wk.barred[task] = max(wk.barred[task], attempt)
		wk.list(task, attempt, "refused")
		return
	}
	ru := &run{attempt: attempt, spec: spec, begun: time.Now(), lasts: true}
	if match := lengthOf.FindStringSubmatch(spec); match != nil {
		ms, _ := strconv.Atoi(match[1])
		ru.lasts, ru.length = false, time.Duration(ms)*time.Millisecond
	}
	wk.runs[task] = ru
	wk.led.started(task, wk.id, attempt)
}
