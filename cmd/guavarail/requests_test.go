package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against a request in flight that fails or whose response is truncated while
// the VMs are shut down in a planned way and restarted, one after the other (P9).
func TestP9RollingRestartCutsNothing(t *testing.T) {
	clu := newCluster(t, "riga-a-1", "riga-a-2", "riga-a-3")
	newBackend(t, "one", clu.vms...)
	newBackend(t, "two", clu.vms...)
	serving := func(v *vm) bool { return sendRequest(v, "GET", "probe", "", nil).intact }
	for i, v := range clu.vms {
		clu.waitUntil(v.name+" serves", func() bool { return serving(v) })
		var wg sync.WaitGroup
		for j := range 4 {
			wg.Go(func() {
				id := fmt.Sprintf("long-%d-%d", i, j)
				if rsp := sendRequest(v, "GET", id, "&slow=3s", nil); !rsp.intact {
					t.Errorf("request %s under way at SIGTERM ended with %+v", id, rsp)
				}
			})
		}
		clu.waitUntil("the requests are under way", func() bool { return sendRequest(v, "GET", "probe", "", nil).intact })
		time.Sleep(200 * time.Millisecond)
		clu.signal(v, syscall.SIGTERM)
		wg.Wait()
		if err := v.cmd.Wait(); err != nil {
			t.Errorf("VM %s ended its planned shutdown with %v", v.name, err)
		}
		v.cmd = nil
		clu.start(v)
		clu.waitReady(v)
	}
}

// Guards the requests of callers while entry VMs are killed and frozen under load: a
// caller must not receive the response to another request or half of its own (P5), a
// request reported as not run must not have run (P6), and a non-idempotent request
// must not run twice, even when it is resent with its key to another VM (P7).
func TestP5P6P7UnderVMFailures(t *testing.T) {
	clu := newCluster(t, "riga-a-1", "riga-a-2", "riga-a-3")
	bac := newBackend(t, "one", clu.vms...)
	for _, v := range clu.vms {
		clu.waitUntil(v.name+" serves", func() bool { return sendRequest(v, "GET", "probe", "", nil).intact })
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	type result struct {
		id        string
		keyed     bool
		responses []response
	}
	results := make(chan result, 10_000)
	for w := range 6 {
		wg.Go(func() {
			for num := 0; ; num++ {
				select {
				case <-stop:
					return
				default:
				}
				got := result{id: fmt.Sprintf("r-%d-%d", w, num), keyed: num%2 == 0}
				header := map[string]string{}
				if got.keyed {
					header["Idempotency-Key"] = got.id
				}
				// A request with a key is resent to the next VM until it is answered,
				// up to 3 times in all.
				for try := range 3 {
					rsp := sendRequest(clu.vms[(w+num+try)%3], "POST", got.id, "&slow=20ms", header)
					got.responses = append(got.responses, rsp)
					if !got.keyed || rsp.outcome == "answered" {
						break
					}
				}
				select {
				case results <- got:
				default:
					return
				}
			}
		})
	}
	for _, v := range clu.vms {
		clu.kill(v)
		time.Sleep(500 * time.Millisecond)
		clu.start(v)
		clu.waitReady(v)
		clu.signal(v, syscall.SIGSTOP)
		time.Sleep(time.Second)
		clu.signal(v, syscall.SIGCONT)
	}
	close(stop)
	wg.Wait()
	close(results)
	var answered, notRun int
	for got := range results {
		runs := bac.runsOf(got.id)
		if runs > 1 {
			t.Errorf("request %s (with key: %v) ran %d times: %+v", got.id, got.keyed, runs, got.responses)
		}
		// reportedNotRun is true when all responses reported that the request did
		// not run.
		reportedNotRun := true
		for _, rsp := range got.responses {
			reportedNotRun = reportedNotRun && rsp.outcome == "notRun"
			if rsp.status == 200 && !rsp.intact {
				t.Errorf("request %s received a response that is truncated or not its own", got.id)
			}
			if rsp.status == 200 {
				answered++
			}
		}
		if reportedNotRun && runs > 0 {
			t.Errorf("request %s was reported as not run and ran", got.id)
		}
		if reportedNotRun {
			notRun++
		}
	}
	if answered == 0 {
		t.Error("no request was answered")
	}
	t.Logf("%d answered, %d not run", answered, notRun)
}
