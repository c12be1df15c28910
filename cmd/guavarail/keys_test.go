package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// keysJob is a job that nothing runs.
const keysJob = `{"taskSpec":"text","steps":[{"count":1,"cpu":1000,"memoryLimitMb":256}]}`

// keysCell is a cell of three control VMs, which also serve callers. Each runs as a process.
type keysCell struct {
	*cluster
	// version is the newest configuration, and keys are those that the configurations had.
	// The last one is in effect.
	version int
	keys    []string
	// accepted is the path of a job that the first key submitted.
	accepted string
}

// newKeysCell starts a cell. The processes are killed at the end of the test.
func newKeysCell(t *testing.T) *keysCell {
	t.Helper()
	kc := &keysCell{cluster: &cluster{t: t, dir: t.TempDir()}}
	// The VMs of a cell listen for each other on one port.
	_, port, _ := net.SplitHostPort(freeAddresses(t, 1)[0])
	var seeds []string
	for num := 1; num <= 3; num++ {
		adrs := freeAddresses(t, 2)
		host := fmt.Sprintf("127.0.8.%d", num)
		kc.vms = append(kc.vms, &vm{name: fmt.Sprintf("control-%d", num), centre: fmt.Sprintf("c-%d", num), callers: adrs[0], api: adrs[1], peer: net.JoinHostPort(host, port)})
		seeds = append(seeds, host+":1")
	}
	for _, v := range kc.vms {
		v.settings = filepath.Join(kc.dir, v.name+".ini")
		text := fmt.Sprintf("[vm]\nname = %s\ncentre = %s\nregion = test\ndataDir = %s\n[listen]\ncallers = %s\napi = %s\npeers = %s\n[cell]\nseeds = %s\nfound = yes\n",
			v.name, v.centre, filepath.Join(kc.dir, v.name), v.callers, v.api, v.peer, strings.Join(seeds, ","))
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		kc.start(v)
	}
	t.Cleanup(func() {
		for _, v := range kc.vms {
			kc.kill(v)
		}
		if t.Failed() {
			kc.showLogs()
		}
	})
	return kc
}

// send sends a call and returns its status, 0 if there was no answer.
func (kc *keysCell) send(method, address, path, key, body string) int {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		kc.t.Fatal(err)
	}
	req.Host = "desk.example"
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("X-Guavarail-Deadline-Ms", "400")
	cli := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rsp, err := cli.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = rsp.Body.Close() }()
	_, _ = io.Copy(io.Discard, rsp.Body)
	return rsp.StatusCode
}

// rotate puts a configuration in effect, through one of the VMs, that has a new key and
// revokes the last one.
func (kc *keysCell) rotate(vms ...*vm) {
	kc.t.Helper()
	kc.version++
	kc.keys = append(kc.keys, fmt.Sprintf("key-%d", kc.version))
	body := fmt.Sprintf(`{"version":%d,"tenants":[{"name":"a","apiKeys":["key-%d"]}],"services":[{"name":"desk"}],`+
		`"routes":[{"name":"r","hostname":"desk.example","pathPrefix":"/fit/","timeoutMs":3000,"serviceName":"desk"}]}`, kc.version, kc.version)
	kc.waitUntil("a configuration is acknowledged", func() bool {
		return slices.ContainsFunc(vms, func(v *vm) bool { return kc.send("POST", v.api, pathConfigure, "", body) == 200 })
	})
}

// checkRevoked fails the test if a VM serves a call with one of some revoked keys. It calls
// until the VM has answered 401 if it must, and a few times otherwise.
func (kc *keysCell) checkRevoked(v *vm, must bool, keys ...string) {
	kc.t.Helper()
	const calls = 6
	for num, rejected := 0, false; num < calls || must && !rejected; num++ {
		for _, key := range keys {
			for _, method := range []string{"GET", "POST"} {
				path := "/fit/"
				if method == "POST" {
					path += "late"
				}
				status := kc.send(method, v.callers, path, key, keysJob)
				rejected = rejected || status == 401
				if status != 0 && status != 401 && status != 503 && status != 504 {
					kc.t.Fatalf("%s: %s with %s answered %d, %s is in effect", v.name, method, key, status, kc.keys[len(kc.keys)-1])
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// resume lets a VM run again and checks that it serves no call with a revoked key that
// waited for it meanwhile, nor a later one.
func (kc *keysCell) resume(v *vm, must bool) {
	kc.t.Helper()
	const waiting = 8
	key := kc.keys[len(kc.keys)-2]
	statuses := make(chan int, waiting)
	for num := range waiting {
		go func() {
			if num%2 == 0 {
				statuses <- kc.send("GET", v.callers, "/fit/", key, "")
				return
			}
			statuses <- kc.send("POST", v.callers, "/fit/late", key, keysJob)
		}()
	}
	// The kernel accepts the calls for the process.
	time.Sleep(200 * time.Millisecond)
	kc.signal(v, syscall.SIGCONT)
	kc.checkRevoked(v, must, key)
	for range waiting {
		if status := <-statuses; status != 0 && status != 401 && status != 503 && status != 504 {
			kc.t.Errorf("%s: a call that waited while its key was revoked answered %d", v.name, status)
		}
	}
}

// checkJobs fails the test unless the accepted job is known to the key in effect and the
// calls with revoked keys submitted none.
func (kc *keysCell) checkJobs(v *vm) {
	kc.t.Helper()
	key := kc.keys[len(kc.keys)-1]
	kc.waitUntil("the accepted job is known", func() bool { return kc.send("GET", v.callers, kc.accepted, key, "") == 200 })
	kc.waitUntil("the job of a revoked key is unknown", func() bool { return kc.send("GET", v.callers, "/fit/late", key, "") == 410 })
}

// Guards against a revoked key that works again, on a VM that stood still while the key was
// revoked, on a leader that is cut off from the VMs that revoked it and does not know that it
// was deposed, and after the end of all processes.
func TestRevokedKeyStaysRevoked(t *testing.T) {
	kc := newKeysCell(t)
	kc.rotate(kc.vms...)
	kc.accepted = "/fit/accepted"
	kc.waitUntil("a job is accepted", func() bool { return kc.send("POST", kc.vms[0].callers, kc.accepted, kc.keys[0], keysJob) == 200 })
	kc.waitUntil("all VMs find the leader", func() bool {
		return !slices.ContainsFunc(kc.vms, func(v *vm) bool { return kc.send("GET", v.callers, "/fit/", kc.keys[0], "") != 200 })
	})
	for pos, v := range kc.vms {
		others := slices.Concat(kc.vms[:pos], kc.vms[pos+1:])
		kc.signal(v, syscall.SIGSTOP)
		kc.rotate(others...)
		kc.resume(v, true)
		kc.waitUntil(v.name+" serves the key in effect", func() bool { return kc.send("GET", v.callers, "/fit/", kc.keys[len(kc.keys)-1], "") == 200 })
	}
	for pos, v := range kc.vms {
		others := slices.Concat(kc.vms[:pos], kc.vms[pos+1:])
		kc.signal(v, syscall.SIGSTOP)
		kc.rotate(others...)
		for _, o := range others {
			kc.signal(o, syscall.SIGSTOP)
		}
		kc.resume(v, false)
		for _, o := range others {
			kc.signal(o, syscall.SIGCONT)
		}
		kc.checkRevoked(v, true, kc.keys[len(kc.keys)-2])
	}
	kc.checkJobs(kc.vms[0])
	for _, v := range kc.vms {
		kc.kill(v)
	}
	for _, v := range kc.vms {
		kc.start(v)
	}
	for _, v := range kc.vms {
		kc.checkRevoked(v, true, kc.keys[:len(kc.keys)-1]...)
	}
	kc.checkJobs(kc.vms[2])
}
