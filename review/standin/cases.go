package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"syscall"
	"time"
)

// freezeTime is how long a control VM stands still. Its link to the leader must outlast it.
const freezeTime = 1500 * time.Millisecond

// caseLargeNumber changes the configuration to one whose queue has maxAttempts
// 4,294,967,295, the largest unsigned number of 32 bits, as an operator writes it for "no
// limit". It then asks for a job that was accepted before, and for the configuration.
func caseLargeNumber(pl *play) int {
	before := pl.cli.newID()
	if pl.cli.submit(before, newJob(2, 1000, 300*time.Millisecond), 10*time.Second) != 200 || pl.cli.awaitState(before, "completed", 10*time.Second) != "completed" {
		return notRun
	}
	cfg := newConfiguration(2)
	if pl.trouble {
		cfg.Routes[0].MaxAttempts = 4294967295
	}
	status := pl.opr.configure(cfg, 4*time.Second)
	pl.rec.printf("the change ended with status %d", status)
	time.Sleep(14 * time.Second)
	broken := ruleHeld
	if state := pl.cli.state(before, 14*time.Second); state != "completed" {
		pl.rec.printf("LOST: the job %s, accepted and completed before the change, is %q 14 s after it", before, state)
		broken = ruleBroken
	}
	if version := pl.opr.readVersion(5 * time.Second); version == 0 {
		pl.rec.printf("CONFIG: no control VM answers a read of the configuration; version 1 had been acknowledged")
		broken = ruleBroken
	}
	// The processes are restarted, one after the other, as an operator would.
	if broken == ruleBroken {
		for _, node := range pl.clu.controls {
			pl.clu.kill(node)
			_ = pl.clu.writeSettings(node, false)
			_ = pl.clu.start(node)
			time.Sleep(time.Second)
		}
		time.Sleep(10 * time.Second)
		pl.rec.printf("after a restart of all control VMs: state %q, version %d", pl.cli.state(before, 5*time.Second), pl.opr.readVersion(5*time.Second))
	}
	return broken
}

// caseOddID lets another writer send heartbeats whose id is not text, as often as a worker
// sends its own, and hands a job in meanwhile.
func caseOddID(pl *play) int {
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		born := time.Now().UnixMilli()
		for seq := 1; pl.trouble; seq++ {
			for _, node := range pl.clu.controls {
				go pl.postOdd(node, "%ff%fe%fd", map[string]any{
					"serviceName": serviceName, "address": workerIP() + ":8080", "zone": zones[0], "version": "v1", "slots": 8, "state": "ready",
					"coldRemainingMs": 0, "capacity": map[string]int{"cpu": 32000, "memoryLimitMb": 128000, "gpus": 0}, "labels": []string{"a", "r1-1"},
					"clockMs": time.Now().UnixMilli() - born + 1, "born": born, "sequence": seq, "running": [][]any{}, "ended": [][]any{},
				})
			}
			select {
			case <-stop:
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
	time.Sleep(2 * time.Second)
	// The tasks of the first job run on a worker each; those of the second anywhere.
	apart, plain := pl.cli.newID(), pl.cli.newID()
	spread := newJob(7, 2000, 500*time.Millisecond)
	spread.Steps[0].AntiAffinity = 1
	code := ruleHeld
	if pl.cli.submit(apart, spread, 5*time.Second) != 200 || pl.cli.submit(plain, newJob(2, 1000, 500*time.Millisecond), 5*time.Second) != 200 {
		code = notRun
	} else {
		// finish_s is 14 s; the 3 s of the rule come after them.
		time.Sleep(17 * time.Second)
		for _, id := range []string{apart, plain} {
			pl.rec.printf("the job %s has had %d runs; its state is %q", id, len(pl.led.runsOf(id)), pl.cli.state(id, 5*time.Second))
			if pl.cli.state(id, 5*time.Second) != "completed" && pl.led.idle(id, 3*time.Second) {
				pl.rec.printf("LOST: the job %s has tasks left and has had nothing running for 3 s, 17 s after it was accepted; six workers are free", id)
				code = ruleBroken
			}
		}
	}
	close(stop)
	<-ended
	return code
}

// caseOddAddress lets another writer send one heartbeat in which fields are missing, with
// the address of a worker that is at work, and looks for two runs of one task.
func caseOddAddress(pl *play) int {
	id := pl.cli.newID()
	if pl.cli.submit(id, newJob(6, 16000, 25*time.Second), 5*time.Second) != 200 {
		return notRun
	}
	time.Sleep(3 * time.Second)
	if len(pl.led.runsOf(id)) == 0 {
		return notRun
	}
	if pl.trouble {
		busy := pl.led.runsOf(id)[0].worker
		for _, wk := range pl.workers {
			if wk.id != busy {
				continue
			}
			pl.postOdd(pl.clu.controls[0], "agent-1", map[string]any{
				"serviceName": serviceName, "address": wk.addr, "zone": wk.zone, "state": "ready", "born": time.Now().UnixMilli(), "sequence": 1,
			})
		}
	}
	time.Sleep(12 * time.Second)
	code := ruleHeld
	for _, two := range pl.led.overlaps() {
		pl.rec.printf("TWICE: run %d of %s on %s and run %d on %s at the same time", two[0].attempt, two[0].task, two[0].worker, two[1].attempt, two[1].worker)
		code = ruleBroken
	}
	return code
}

// caseManyEnds cuts one of six workers off for 5.5 s while some hundred small tasks run on
// it, so that more ends than a heartbeat lists wait for their acknowledgement.
func caseManyEnds(pl *play) int {
	id := pl.cli.newID()
	jo := job{TaskSpec: "40 4000 1500", Steps: []step{{Count: 4200, CPU: 40, MemoryMb: 20, EstimatedMs: 4750}}}
	if pl.cli.submit(id, jo, 5*time.Second) != 200 {
		return notRun
	}
	time.Sleep(3500 * time.Millisecond)
	perWorker := map[string]int{}
	for _, evt := range pl.led.runsOf(id) {
		perWorker[evt.worker]++
	}
	pl.rec.printf("runs by worker: %v", perWorker)
	most := pl.workers[0]
	for _, wk := range pl.workers {
		if perWorker[wk.id] > perWorker[most.id] {
			most = wk
		}
	}
	if perWorker[most.id] <= maxListedEnds {
		return notRun
	}
	if pl.trouble {
		pl.rec.printf("worker %s is cut off", most.id)
		most.cut.Store(true)
		time.Sleep(5500 * time.Millisecond)
		most.cut.Store(false)
		pl.rec.printf("worker %s is connected again", most.id)
	}
	state := pl.cli.awaitState(id, "completed", 30*time.Second)
	time.Sleep(time.Second)
	pl.rec.printf("the job is %q after %d runs of 4200 tasks", state, len(pl.led.runsOf(id)))
	twice := append(pl.led.overlaps(), pl.led.repeats()...)
	for _, two := range twice {
		pl.rec.printf("TWICE: %s: run %d on %s ended %q at %.3f, run %d on %s began at %.3f", two[0].task, two[0].attempt, two[0].worker, two[0].how,
			two[0].to.Sub(pl.rec.start).Seconds(), two[1].attempt, two[1].worker, two[1].from.Sub(pl.rec.start).Seconds())
	}
	if len(twice) > 0 {
		pl.rec.printf("TWICE: %d pairs of runs", len(twice))
		return ruleBroken
	}
	return ruleHeld
}

// caseLargeAnswer hands in a job of 3,000 small tasks whose taskSpec has 4,000 bytes, and
// looks whether it, and a small job after it, are carried out. The tasks take 1 to 9 s, so
// that few of them end at the same time.
func caseLargeAnswer(pl *play) int {
	spec := "10 1000 8000"
	if pl.trouble {
		spec += strings.Repeat(" ", 4000-len(spec))
	}
	id := pl.cli.newID()
	jo := job{TaskSpec: spec, Steps: []step{{Count: 3000, CPU: 10, MemoryMb: 20, EstimatedMs: 5000}}}
	if pl.cli.submit(id, jo, 5*time.Second) != 200 {
		return notRun
	}
	time.Sleep(3 * time.Second)
	small := pl.cli.newID()
	if pl.cli.submit(small, newJob(2, 1000, 500*time.Millisecond), 5*time.Second) != 200 {
		return notRun
	}
	state := pl.cli.awaitState(id, "completed", 25*time.Second)
	pl.rec.printf("the job is %q after %d runs of 3000 tasks", state, len(pl.led.runsOf(id)))
	pl.rec.printf("a small job %s, handed in 3 s after it, is %q after %d runs of 2 tasks", small, pl.cli.state(small, 5*time.Second), len(pl.led.runsOf(small)))
	code := ruleHeld
	for _, one := range []string{id, small} {
		if pl.cli.state(one, 5*time.Second) != "completed" && pl.led.idle(one, 3*time.Second) {
			pl.rec.printf("LOST: the job %s has tasks left and has had nothing running for 3 s, over 25 s after it was accepted; the workers are free", one)
			code = ruleBroken
		}
	}
	return code
}

// evacuationLimit is evacuationMs, and contactTime contactMs.
const (
	evacuationLimit = 5 * time.Second
	contactTime     = 3 * time.Second
)

// caseStaleOrder freezes a control VM that doesn't lead for some time while the operator
// takes a zone back and then out again, and looks for tasks that start in the zone.
func caseStaleOrder(pl *play) int {
	zone := zones[0]
	until := time.Now().Add(40 * time.Second)
	fed := make(chan struct{})
	go func() {
		defer close(fed)
		for time.Now().Before(until) {
			go pl.cli.call(http.MethodPost, pl.cli.newID(), newJob(10, 8000, 500*time.Millisecond))
			time.Sleep(300 * time.Millisecond)
		}
	}()
	time.Sleep(2 * time.Second)
	if pl.opr.order(http.MethodPost, "/Evacuations.Start/"+zone, nil, 5*time.Second) != 200 {
		return notRun
	}
	time.Sleep(6 * time.Second)
	frozen, other := pl.followers()
	var thawedAt time.Time
	thawed := make(chan struct{})
	if pl.trouble {
		pl.clu.signal(frozen, syscall.SIGSTOP)
		go func() {
			defer close(thawed)
			time.Sleep(freezeTime)
			pl.clu.signal(frozen, syscall.SIGCONT)
			thawedAt = time.Now()
		}()
	} else {
		close(thawed)
	}
	// The operator picks the frozen VM first. After a second without an answer it moves on.
	if status, _ := pl.opr.once(frozen, http.MethodPost, "/Evacuations.Finish/"+zone, nil); status != 200 {
		if status, _ := pl.opr.once(other, http.MethodPost, "/Evacuations.Finish/"+zone, nil); status != 200 {
			return notRun
		}
	}
	time.Sleep(100 * time.Millisecond)
	if status, _ := pl.opr.once(other, http.MethodPost, "/Evacuations.Start/"+zone, nil); status != 200 {
		return notRun
	}
	acked := time.Now()
	pl.rec.printf("the zone %s is out of service; the operator sends no more orders", zone)
	<-thawed
	from := acked.Add(evacuationLimit)
	if inTouch := thawedAt.Add(2 * contactTime); inTouch.After(from) {
		from = inTouch
	}
	<-fed
	starts := pl.startsIn(zone, from)
	pl.rec.printf("%d tasks began in %s later than %.1f s after the acknowledgement", len(starts), zone, from.Sub(acked).Seconds())
	if len(starts) > 0 {
		pl.rec.printf("EVAC: the first is run %d of %s on %s, %.3f s after the acknowledgement", starts[0].attempt, starts[0].task, starts[0].worker, starts[0].from.Sub(acked).Seconds())
		return ruleBroken
	}
	return ruleHeld
}

// followers returns the two control VMs to which the workers are not directed.
func (pl *play) followers() (*vm, *vm) {
	votes := map[string]int{}
	for _, wk := range pl.workers {
		votes[wk.beatTo()]++
	}
	controls := append([]*vm(nil), pl.clu.controls...)
	sort.SliceStable(controls, func(i, j int) bool {
		return votes[pl.clu.apiAddr(controls[i])] < votes[pl.clu.apiAddr(controls[j])]
	})
	pl.rec.printf("%s leads", controls[2].name)
	return controls[0], controls[1]
}

// startsIn returns the runs that began in a zone after a time.
func (pl *play) startsIn(zone string, from time.Time) []runEvent {
	in := map[string]bool{}
	for _, wk := range pl.workers {
		in[wk.id] = wk.zone == zone
	}
	pl.led.mu.Lock()
	defer pl.led.mu.Unlock()
	var out []runEvent
	for _, evt := range pl.led.runs {
		if in[evt.worker] && evt.from.After(from) {
			out = append(out, *evt)
		}
	}
	return out
}

// postOdd sends a heartbeat of another writer to a control VM.
func (pl *play) postOdd(node *vm, id string, body map[string]any) string {
	data, _ := json.Marshal(body)
	rsp, err := shortClient.Post("http://"+pl.clu.apiAddr(node)+"/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(data))
	if err != nil {
		return err.Error()
	}
	defer rsp.Body.Close()
	out, _ := io.ReadAll(rsp.Body)
	answer := fmt.Sprintf("%d %s", rsp.StatusCode, out)
	pl.rec.printf("other writer: heartbeat of %s at %s: %s: %s", id, node.name, data, answer)
	if rsp.StatusCode != http.StatusOK {
		return answer
	}
	return answer
}
