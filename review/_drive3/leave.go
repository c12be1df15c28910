package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// relay passes connections to an address. Once deaf is set, it passes on what clients send
// and drops what comes back.
type relay struct {
	lis  net.Listener
	to   string
	mu   sync.Mutex
	deaf bool
}

func newRelay(to string) (*relay, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	re := &relay{lis: lis, to: to}
	go re.accept()
	return re, nil
}

func (re *relay) address() string { return re.lis.Addr().String() }

func (re *relay) setDeaf() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.deaf = true
}

func (re *relay) isDeaf() bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.deaf
}

func (re *relay) accept() {
	for {
		con, err := re.lis.Accept()
		if err != nil {
			return
		}
		go re.pass(con)
	}
}

func (re *relay) pass(con net.Conn) {
	defer func() { _ = con.Close() }()
	out, err := net.Dial("tcp", re.to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() {
		buf := make([]byte, 64<<10)
		for {
			num, err := out.Read(buf)
			if num > 0 && !re.isDeaf() {
				_, _ = con.Write(buf[:num])
			}
			if err != nil {
				// A silent loss: the client sees no end either.
				return
			}
		}
	}()
	_, _ = io.Copy(out, con)
}

// waitUntil polls a condition.
func waitUntil(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return cond()
}

// leaveTime is how long a leaving worker waits for the acknowledgement of its
// deregistration, before it exits anyway.
const leaveTime = 3 * time.Second

// standing starts a cluster of three frontends and ten workers that run a job of tasks that
// last.
func standing(rec *record, tasks int) (*cluster, *ledger, []*worker, error) {
	clu, err := newCluster(rec, 3, "")
	if err != nil {
		return nil, nil, nil, err
	}
	led := newLedger(rec)
	workers, err := clu.startStanding(led, tasks)
	if err != nil {
		exitAll(workers)
		clu.stopAll()
		return nil, nil, nil, err
	}
	return clu, led, workers, nil
}

func (clu *cluster) startStanding(led *ledger, tasks int) ([]*worker, error) {
	if err := clu.startAll(); err != nil {
		return nil, err
	}
	if status, _ := clu.operate(http.MethodPost, "/Config.Replace", usualConfiguration(3, true), 20*time.Second); status != 200 {
		return nil, errors.New("no configuration")
	}
	var workers []*worker
	for num := range 10 {
		wk := newWorker(led, fmt.Sprintf("i-%08d", num), zones[num%3], fmt.Sprintf("r1-%d", num/8), clu.controlAddresses())
		wk.address = fmt.Sprintf("127.92.0.%d:8080", num+1)
		wk.start()
		workers = append(workers, wk)
	}
	job := map[string]any{"taskSpec": "cpu=6400", "steps": []map[string]any{{"count": tasks, "cpu": 6400, "memoryLimitMb": 13000, "longRunning": true, "estimatedMs": 500}}}
	if !clu.submit(watchPrefix+"00000000000000a1", job) {
		return workers, errors.New("job not accepted")
	}
	if !waitUntil(20*time.Second, func() bool { return led.runningTasks() == tasks }) {
		return workers, errors.New("the tasks did not start")
	}
	time.Sleep(3 * time.Second)
	return workers, nil
}

// exitAll ends the workers.
func exitAll(workers []*worker) {
	for _, wk := range workers {
		wk.exit()
	}
}

// leaveCase: a worker that leaves as planned gets no acknowledgement of its deregistration.
func leaveCase(rec *record, trouble bool) (int, error) {
	clu, led, workers, err := standing(rec, 30)
	if err != nil {
		return cantRun, err
	}
	defer clu.stopAll()
	defer exitAll(workers)
	var leaving *worker
	for _, wk := range workers {
		if len(led.runningOn(wk.id)) > 0 {
			leaving = wk
		}
	}
	if leaving == nil {
		return cantRun, errors.New("no worker has tasks")
	}
	rec.printf("worker %s drains; it runs %d tasks", leaving.id, len(led.runningOn(leaving.id)))
	leaving.setDraining()
	if !waitUntil(5*time.Second, func() bool { return !leaving.ackedDrain().IsZero() }) {
		return cantRun, errors.New("draining not acknowledged")
	}
	time.Sleep(3 * time.Second)
	re, err := newRelay(leaving.nextTarget())
	if err != nil {
		return cantRun, err
	}
	defer func() { _ = re.lis.Close() }()
	if trouble {
		rec.printf("packets to worker %s are lost from now on", leaving.id)
		re.setDeaf()
	}
	leaving.setSilent(true)
	rec.printf("worker %s sends its deregistration; it runs %d tasks", leaving.id, len(led.runningOn(leaving.id)))
	status, _ := call(http.MethodPost, re.address(), "", "/Instances.Deregister/"+leaving.id, map[string]int64{"born": leaving.born}, leaveTime)
	rec.printf("worker %s: deregistration answered %d; it exits", leaving.id, status)
	leaving.exit()
	time.Sleep(10 * time.Second)
	if led.ranTwice() {
		return broken, nil
	}
	return held, nil
}
