package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// frozenFor is longer than a caller of these tests waits, and shorter than the time after
// which the other VMs close their links to a frozen one.
const frozenFor = 1400 * time.Millisecond

// frozenCell is a cell with one worker in the data centre c-1.
type frozenCell struct {
	*keysCell
	// sequence is that of the worker's last heartbeat, and began is when the worker started.
	sequence int
	began    time.Time
}

// newFrozenCell starts a cell without keys whose VMs all find the leader.
func newFrozenCell(t *testing.T) *frozenCell {
	t.Helper()
	fc := &frozenCell{keysCell: newKeysCell(t), began: time.Now()}
	const config = `{"version":1,"services":[{"name":"desk"}],` +
		`"routes":[{"name":"r","hostname":"desk.example","pathPrefix":"/fit/","timeoutMs":3000,"serviceName":"desk"}]}`
	fc.waitUntil("a configuration is acknowledged", func() bool { return fc.order(pathConfigure, config, fc.vms...) })
	fc.waitUntil("all VMs find the leader", func() bool {
		return !slices.ContainsFunc(fc.vms, func(v *vm) bool { return fc.send("GET", v.callers, "/fit/", "", "") != 200 })
	})
	return fc
}

// order sends an order and reports whether one of the VMs has acknowledged it.
func (fc *frozenCell) order(path, body string, vms ...*vm) bool {
	return slices.ContainsFunc(vms, func(v *vm) bool { return fc.send("POST", v.api, path, "", body) == 200 })
}

// started reports whether the worker is told to start a task of a job within some time.
func (fc *frozenCell) started(id string, within time.Duration) bool {
	fc.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		fc.sequence++
		body := fmt.Sprintf(`{"serviceName":"desk","address":"10.0.0.9:8080","zone":"c-1","version":"v1","slots":8,"state":"ready","born":1700000000000,`+
			`"capacity":{"cpu":16000,"memoryLimitMb":32768,"gpus":0},"labels":["a","r1"],"clockMs":%d,"sequence":%d,"running":[],"ended":[]}`, time.Since(fc.began).Milliseconds(), fc.sequence)
		for _, v := range fc.vms {
			rsp, err := http.Post("http://"+v.api+pathHeartbeat+"w-1", "application/json", strings.NewReader(body))
			if err != nil {
				continue
			}
			ans, _ := io.ReadAll(rsp.Body)
			_ = rsp.Body.Close()
			if strings.Contains(string(ans), `"`+id+`.0.0.0"`) {
				return true
			}
			if rsp.StatusCode == 200 {
				break
			}
		}
	}
	return false
}

// frozen reports whether the process of a VM is stopped. It still runs for a moment after the
// signal.
func frozen(v *vm) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.cmd.Process.Pid))
	_, state, found := strings.Cut(string(stat), ") ")
	return err == nil && found && strings.HasPrefix(state, "T")
}

// sendFrozen freezes a VM, sends it a call that its caller gives up, runs meanwhile, and lets
// the VM run again once frozenFor has passed.
func (fc *frozenCell) sendFrozen(v *vm, method, address, path, body string, meanwhile func(others []*vm)) {
	fc.t.Helper()
	others := slices.DeleteFunc(slices.Clone(fc.vms), func(o *vm) bool { return o == v })
	fc.signal(v, syscall.SIGSTOP)
	fc.waitUntil(v.name+" is frozen", func() bool { return frozen(v) })
	begin := time.Now()
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		fc.t.Fatal(err)
	}
	req.Host = "desk.example"
	cli := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	if rsp, err := cli.Do(req); err == nil {
		_ = rsp.Body.Close()
		fc.t.Fatalf("%s: a frozen VM answered %d", v.name, rsp.StatusCode)
	}
	meanwhile(others)
	time.Sleep(time.Until(begin.Add(frozenFor)))
	fc.signal(v, syscall.SIGCONT)
	fc.waitUntil(v.name+" finds the leader", func() bool { return fc.send("GET", v.callers, "/fit/", "", "") == 200 })
}

// Guards against an order of an operator that waited for a frozen VM and undoes a newer one
// once the VM runs again: tasks would start in a data centre that is out of service.
func TestOrderThatWaitedForAFrozenVMIsNotCarriedOut(t *testing.T) {
	fc := newFrozenCell(t)
	const out, in = pathCentreOut + "c-1", pathCentreIn + "c-1"
	for num, v := range fc.vms {
		fc.waitUntil("the data centre is out", func() bool { return fc.order(out, "", fc.vms...) })
		fc.sendFrozen(v, "POST", v.api, in, "", func(others []*vm) {
			fc.waitUntil("the data centre is in", func() bool { return fc.order(in, "", others...) })
			fc.waitUntil("the data centre is out again", func() bool { return fc.order(out, "", others...) })
		})
		id := fmt.Sprintf("out%d", num)
		fc.waitUntil("a job is accepted", func() bool { return fc.send("POST", v.callers, "/fit/"+id, "", keysJob) == 200 })
		if fc.started(id, 2*time.Second) {
			t.Fatalf("%s: a task starts in a data centre that is out of service", v.name)
		}
		fc.waitUntil("the data centre is in", func() bool { return fc.order(in, "", fc.vms...) })
		if !fc.started(id, time.Minute) {
			t.Fatalf("%s: no task starts in a data centre that is in service", v.name)
		}
	}
}

// Guards against a job that waited for a frozen VM and runs although its caller has given up
// and cancelled it at another VM, which did not know the job.
func TestCancelledJobThatWaitedForAFrozenVMDoesNotRun(t *testing.T) {
	fc := newFrozenCell(t)
	for num, v := range fc.vms {
		id := fmt.Sprintf("late%d", num)
		path := "/fit/" + id
		fc.sendFrozen(v, "POST", v.callers, path, keysJob, func(others []*vm) {
			fc.waitUntil("the job is cancelled", func() bool {
				return slices.ContainsFunc(others, func(o *vm) bool { return fc.send("DELETE", o.callers, path, "", "") == 410 })
			})
		})
		if fc.started(id, 2*time.Second) {
			t.Errorf("%s: a task of the cancelled job starts", v.name)
		}
	}
	const path = "/fit/sound"
	fc.waitUntil("a job is accepted", func() bool { return fc.send("POST", fc.vms[0].callers, path, "", keysJob) == 200 })
	if !fc.started("sound", time.Minute) {
		t.Error("no task of a job that is not cancelled starts")
	}
}
