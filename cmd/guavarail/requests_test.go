package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards P9: a planned shutdown cuts a response that is under way, or requests
// fail while every VM is restarted in turn.
func TestP9RollingRestartCutsNothing(t *testing.T) {
	clu := newCluster(t, "riga-a-1", "riga-a-2", "riga-a-3")
	newBackend(t, "one", clu.vms...)
	newBackend(t, "two", clu.vms...)
	serving := func(v *vm) bool { return call(v, "GET", "probe", "", nil).whole }
	for i, v := range clu.vms {
		clu.until(v.name+" serves", func() bool { return serving(v) })
		var wg sync.WaitGroup
		for j := range 4 {
			wg.Go(func() {
				id := fmt.Sprintf("long-%d-%d", i, j)
				if ans := call(v, "GET", id, "&slow=3s", nil); !ans.whole {
					t.Errorf("request %s under way at SIGTERM ended with %+v", id, ans)
				}
			})
		}
		clu.until("the requests are under way", func() bool { return call(v, "GET", "probe", "", nil).whole })
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

// Guards P5, P6 and P7: while entry VMs are killed and frozen under load, a
// caller gets another's answer or half of its own, a request that was reported
// as not run has run, or a non-idempotent request runs twice, also when it is
// sent again with its key to another VM.
func TestP5P6P7UnderVMFailures(t *testing.T) {
	clu := newCluster(t, "riga-a-1", "riga-a-2", "riga-a-3")
	bac := newBackend(t, "one", clu.vms...)
	for _, v := range clu.vms {
		clu.until(v.name+" serves", func() bool { return call(v, "GET", "probe", "", nil).whole })
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	type sent struct {
		id      string
		keyed   bool
		answers []answer
	}
	results := make(chan sent, 10_000)
	for w := range 6 {
		wg.Go(func() {
			for num := 0; ; num++ {
				select {
				case <-stop:
					return
				default:
				}
				got := sent{id: fmt.Sprintf("r-%d-%d", w, num), keyed: num%2 == 0}
				header := map[string]string{}
				if got.keyed {
					header["Idempotency-Key"] = got.id
				}
				// A caller with a key sends again, to the next VM, until it knows.
				for try := range 3 {
					ans := call(clu.vms[(w+num+try)%3], "POST", got.id, "&slow=20ms", header)
					got.answers = append(got.answers, ans)
					if !got.keyed || ans.outcome == "answered" {
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
		runs := bac.ran(got.id)
		if runs > 1 {
			t.Errorf("request %s (with key: %v) ran %d times: %+v", got.id, got.keyed, runs, got.answers)
		}
		told := true
		for _, ans := range got.answers {
			told = told && ans.outcome == "notRun"
			if ans.status == 200 && !ans.whole {
				t.Errorf("request %s got an answer that is not its own whole one", got.id)
			}
			if ans.status == 200 {
				answered++
			}
		}
		if told && runs > 0 {
			t.Errorf("request %s was reported as not run and ran", got.id)
		}
		if told {
			notRun++
		}
	}
	if answered == 0 {
		t.Error("no request was answered")
	}
	t.Logf("%d answered, %d not run", answered, notRun)
}
