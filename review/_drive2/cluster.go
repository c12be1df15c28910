package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (rec *record) printf(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.out, "%8.3f  %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

// vm is one process of the system.
type vm struct {
	name, zone, ip string
	core           bool
	settings       string
	cmd            *exec.Cmd
	done           chan struct{}
}

func (v *vm) signal(sig syscall.Signal) { _ = v.cmd.Process.Signal(sig) }

// cluster is the system: one core VM and one entry VM in each zone.
type cluster struct {
	rec     *record
	dir     string
	program string
	zones   []string
	cores   []*vm
	fronts  []*vm
	// The ports are the same on all machines.
	control, peers, metrics, front, ready int
	client                                *http.Client
}

func freePort(ips []string) int {
	for port := 21000 + os.Getpid()%8000; ; port++ {
		ok := true
		for _, ip := range ips {
			lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				ok = false
				break
			}
			lis.Close()
		}
		if ok {
			return port
		}
	}
}

func newCluster(rec *record, program string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	cl := &cluster{rec: rec, dir: dir, program: program, zones: []string{"musanze", "rubavu", "nyabihu"}, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	net2 := 64 + os.Getpid()%128
	var ips []string
	for i, zone := range cl.zones {
		cl.cores = append(cl.cores, &vm{name: "core-" + zone + "-1", zone: zone, core: true, ip: fmt.Sprintf("127.%d.%d.16", net2, i+1)})
		cl.fronts = append(cl.fronts, &vm{name: "frontend-" + zone + "-1", zone: zone, ip: fmt.Sprintf("127.%d.%d.32", net2, i+1)})
	}
	for _, v := range append(append([]*vm{}, cl.cores...), cl.fronts...) {
		ips = append(ips, v.ip)
	}
	base := freePort(ips)
	cl.control = base
	next := func(prev int) int {
		for port := prev + 1; ; port++ {
			lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ips[0], port))
			if err == nil {
				lis.Close()
				return port
			}
		}
	}
	cl.peers = next(cl.control)
	cl.metrics = next(cl.peers)
	cl.front = next(cl.metrics)
	cl.ready = next(cl.front)
	for _, v := range append(append([]*vm{}, cl.cores...), cl.fronts...) {
		if err := cl.start(v, true); err != nil {
			return cl, err
		}
	}
	return cl, nil
}

// start starts a process with the settings that deploy/control.ini or deploy/entry.ini give.
func (cl *cluster) start(v *vm, bootstrap bool) error {
	var seeds []string
	for _, c := range cl.cores {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, cl.control))
	}
	text := fmt.Sprintf("[vm]\nname = %s\ncentre = %s\nregion = rw-north\n", v.name, v.zone)
	if v.core {
		data := filepath.Join(cl.dir, v.name)
		if err := os.MkdirAll(data, 0o755); err != nil {
			return err
		}
		text += fmt.Sprintf("dataDir = %s\n\n[listen]\napi = %s:%d\npeers = %s:%d\nmetrics = %s:%d\n\n[cell]\nseeds = %s\nfound = %t\nlosses = 1\nkeepSeconds = 120\nholdMaxMs = 10000\npaceDelayMs = 100\ngraceSeconds = 6\nmemoryMb = 280\n",
			data, v.ip, cl.control, v.ip, cl.peers, v.ip, cl.metrics, strings.Join(seeds, ","), bootstrap)
	} else {
		text += fmt.Sprintf("\n[listen]\ncallers = %s:%d\nready = %s:%d\npeers = %s:%d\nmetrics = %s:%d\n\n[cell]\nseeds = %s\nlosses = 1\ngraceSeconds = 6\n",
			v.ip, cl.front, v.ip, cl.ready, v.ip, cl.peers, v.ip, cl.metrics, strings.Join(seeds, ","))
	}
	v.settings = filepath.Join(cl.dir, v.name+".ini")
	if err := os.WriteFile(v.settings, []byte(text), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(cl.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	v.cmd = exec.Command(cl.program, "serve", "--settings", v.settings)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		log.Close()
		close(done)
	}(v.cmd, v.done)
	return nil
}

// stop ends all processes and removes the directory.
func (cl *cluster) stop() {
	for _, v := range append(append([]*vm{}, cl.cores...), cl.fronts...) {
		if v.cmd != nil && v.cmd.Process != nil {
			v.signal(syscall.SIGKILL)
			v.signal(syscall.SIGCONT)
			<-v.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(cl.dir)
	} else {
		fmt.Println("logs in", cl.dir)
	}
}

func (cl *cluster) controlOf(v *vm) string { return fmt.Sprintf("%s:%d", v.ip, cl.control) }

func (cl *cluster) controls() []string {
	var out []string
	for _, v := range cl.cores {
		out = append(out, cl.controlOf(v))
	}
	return out
}

// send sends one call and returns the status, or 0 without a response in time.
func (cl *cluster) send(timeout time.Duration, method, addr, host, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var rdr io.Reader
	if body != nil {
		rdr = bytes.NewReader(body)
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+addr+path, rdr)
	if host != "" {
		req.Host = host
		req.Header.Set("X-Guavarail-Deadline-Ms", "3000")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	rsp, err := cl.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer rsp.Body.Close()
	buf, err := io.ReadAll(rsp.Body)
	if err != nil {
		return 0, ""
	}
	return rsp.StatusCode, string(buf)
}

// order sends an operator's order as the pages say: first to the VM with the index first,
// after a second without a response, or a failure, to the next one. It returns whether it was
// acknowledged.
func (cl *cluster) order(first int, method, path string, body []byte) bool {
	end := time.Now().Add(4 * time.Second)
	for i := first; time.Now().Before(end); i++ {
		v := cl.cores[i%len(cl.cores)]
		status, _ := cl.send(time.Second, method, cl.controlOf(v), "", path, body)
		cl.rec.printf("operator: %s %s to %s -> %d", method, path, v.name, status)
		if status/100 == 2 {
			return true
		}
		if status != 0 && status < 500 && status != 408 && status != 429 {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// configuration returns a complete configuration with one service and three queues.
func configuration(version int, extra int) []byte {
	type m = map[string]any
	routes := []m{}
	for i, qu := range queues {
		routes = append(routes, m{"name": "r-" + qu.name, "hostname": qu.host, "pathPrefix": qu.prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1200, "priority": i, "serviceName": service, "maxAttempts": 3, "latencyFactor": 1.5})
	}
	for i := range extra {
		routes = append(routes, m{"name": fmt.Sprintf("r-x%d", i), "hostname": "extra.example", "pathPrefix": fmt.Sprintf("/x%d/", i), "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1200, "priority": 0, "serviceName": service, "maxAttempts": 3, "latencyFactor": 1.5})
	}
	buf, _ := json.Marshal(m{
		"version": version, "routes": routes,
		"services": []m{{"name": service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0, "rejectsOverload": true, "standby": false}},
		"limits":   m{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return buf
}

const service = "huvo11a"

type queue struct{ name, host, prefix string }

var queues = []queue{{"a", "nony24.example", "/lohu930/"}, {"b", "ficu95.example", "/pufi791/"}}

// job returns the body of a job with one step of tasks.
func job(tasks, ms, cpu int) []byte {
	buf, _ := json.Marshal(map[string]any{
		"taskSpec": fmt.Sprintf("ms=%d cpu=%d", ms, cpu),
		"steps":    []map[string]any{{"count": tasks, "cpu": cpu, "memoryLimitMb": 256, "estimatedMs": ms}},
	})
	return buf
}

// submit hands a job in as a client does, and returns whether it was accepted.
func (cl *cluster) submit(qu queue, id string, body []byte) bool {
	end := time.Now().Add(5 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		v := cl.fronts[i%len(cl.fronts)]
		status, _ := cl.send(3*time.Second, "POST", fmt.Sprintf("%s:%d", v.ip, cl.front), qu.host, qu.prefix+id, body)
		cl.rec.printf("client: POST %s to %s -> %d", qu.prefix+id, v.name, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (cl *cluster) state(qu queue, id string) (int, string) {
	v := cl.fronts[0]
	status, body := cl.send(3*time.Second, "GET", fmt.Sprintf("%s:%d", v.ip, cl.front), qu.host, qu.prefix+id, nil)
	var msg struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &msg)
	return status, msg.State
}

// leader returns the index of the core VM to which the answers to a worker's heartbeats refer, or -1.
func (cl *cluster) leader(wk *worker) int {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	for i, v := range cl.cores {
		if wk.preferred == cl.controlOf(v) {
			return i
		}
	}
	return -1
}
