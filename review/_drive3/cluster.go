// Command review3 plays the script cases of the review: it starts the programs of the
// deploy file as separate processes on loopback addresses, with small stand-ins for
// clients, workers, the operator and the platform.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what is sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (rec *record) printf(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.file, "%9.3f "+format+"\n", append([]any{time.Since(rec.start).Seconds()}, args...)...)
}

// zones are the data centres of the deployment.
var zones = []string{"musanze", "rubavu", "nyabihu"}

// node is one process of the system.
type node struct {
	name, class, zone, ip string
	settings, logPath     string
	cmd                   *exec.Cmd
	exited                chan struct{}
}

// cluster is a small deployment: three core machines and some frontends.
type cluster struct {
	rec                                *record
	dir                                string
	control, front, ready, peers, vars int
	cores, fronts                      []*node
	// platform is the address of the service for machines, empty for none.
	platform string
}

// freePorts returns ports that are free on a loopback address.
func freePorts(num int) ([]int, error) {
	var out []int
	var open []net.Listener
	defer func() {
		for _, lis := range open {
			_ = lis.Close()
		}
	}()
	for range num {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		open = append(open, lis)
		out = append(out, lis.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// newCluster writes the settings of the processes.
func newCluster(rec *record, fronts int, platform string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	clu := &cluster{rec: rec, dir: dir, control: ports[0], front: ports[1], ready: ports[2], peers: ports[3], vars: ports[4], platform: platform}
	for num := range 3 {
		clu.cores = append(clu.cores, &node{name: fmt.Sprintf("core-%s-1", zones[num]), class: "core", zone: zones[num], ip: fmt.Sprintf("127.91.1.%d", num+1)})
	}
	for num := range fronts {
		clu.fronts = append(clu.fronts, &node{name: fmt.Sprintf("frontend-%s-%d", zones[num%3], num/3+1), class: "frontend", zone: zones[num%3], ip: fmt.Sprintf("127.91.2.%d", num+1)})
	}
	for _, no := range append(append([]*node{}, clu.cores...), clu.fronts...) {
		if err := clu.writeSettings(no, true); err != nil {
			return nil, err
		}
	}
	return clu, nil
}

// fields returns the fields of the platform's settings that the templates use.
func (clu *cluster) fields(no *node, bootstrap bool) map[string]string {
	var seeds []string
	for _, core := range clu.cores {
		seeds = append(seeds, fmt.Sprintf("%s:%d", core.ip, clu.control))
	}
	out := map[string]string{
		"nodeName": no.name, "zone": no.zone, "region": "rw-north", "ipAddress": no.ip,
		"internalPortRange.0": strconv.Itoa(clu.peers), "internalPortRange.1": strconv.Itoa(clu.vars),
		"seedAddresses": strings.Join(seeds, ","), "bootstrap": strconv.FormatBool(bootstrap),
		"faultTolerance.machines": "1", "bounds.status_s": "120", "bounds.maxHoldMs": "10000", "bounds.throttleDelayMs": "100",
		"bounds.gracePeriodS": "6", "limits.memoryMb": "280", "limits.fileDescriptors": "4096",
	}
	if clu.platform != "" {
		out["cloudApi.address"], out["cloudApi.ratePerS"], out["cloudApi.dutyPerS"] = clu.platform, "60.0", "60.0"
	}
	if no.class == "core" {
		out["dataDirectory"] = filepath.Join(clu.dir, no.name)
		out["listenAddresses.control"] = fmt.Sprintf("%s:%d", no.ip, clu.control)
	} else {
		out["limits.memoryMb"], out["limits.fileDescriptors"] = "284", "4100"
		out["listenAddresses.front"] = fmt.Sprintf("%s:%d", no.ip, clu.front)
		out["listenAddresses.ready"] = fmt.Sprintf("%s:%d", no.ip, clu.ready)
	}
	return out
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// writeSettings fills in the template of the deploy file.
func (clu *cluster) writeSettings(no *node, bootstrap bool) error {
	name := "deploy/control.ini"
	if no.class == "frontend" {
		name = "deploy/entry.ini"
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	fields := clu.fields(no, bootstrap)
	out := section.ReplaceAllStringFunc(string(text), func(part string) string {
		match := section.FindStringSubmatch(part)
		if fields[match[1]] == "" {
			return ""
		}
		return match[2]
	})
	out = placeholder.ReplaceAllStringFunc(out, func(part string) string { return fields[placeholder.FindStringSubmatch(part)[1]] })
	no.settings = filepath.Join(clu.dir, no.name+".ini")
	if dir := fields["dataDirectory"]; dir != "" {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
	}
	return os.WriteFile(no.settings, []byte(out), 0o644)
}

// start starts the process of a node with the command of the deploy file.
func (clu *cluster) start(no *node) error {
	program := "target/guavarail"
	if alt := os.Getenv("REVIEW3_PROGRAM"); alt != "" {
		program = alt
	}
	no.logPath = filepath.Join(clu.dir, no.name+".log")
	file, err := os.OpenFile(no.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	no.cmd = exec.Command(program, "serve", "--settings", no.settings)
	no.cmd.Env = append(os.Environ(), "GUAVARAIL_SETTINGS="+no.settings)
	no.cmd.Stdout, no.cmd.Stderr = file, file
	if err := no.cmd.Start(); err != nil {
		return err
	}
	no.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(no.cmd, no.exited)
	clu.rec.printf("process %s started, pid %d", no.name, no.cmd.Process.Pid)
	return nil
}

// startAll starts all processes.
func (clu *cluster) startAll() error {
	for _, no := range append(append([]*node{}, clu.cores...), clu.fronts...) {
		if err := clu.start(no); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a node.
func (clu *cluster) signal(no *node, sig syscall.Signal) {
	clu.rec.printf("process %s gets %v", no.name, sig)
	_ = no.cmd.Process.Signal(sig)
}

// alive reports whether the process of a node runs.
func (no *node) alive() bool {
	select {
	case <-no.exited:
		return false
	default:
		return no.cmd != nil
	}
}

// stopAll ends all processes and removes their folder, unless REVIEW3_KEEP is set.
func (clu *cluster) stopAll() {
	for _, no := range append(append([]*node{}, clu.cores...), clu.fronts...) {
		if no.cmd != nil && no.alive() {
			_ = no.cmd.Process.Signal(syscall.SIGCONT)
			_ = no.cmd.Process.Kill()
			<-no.exited
		}
	}
	if os.Getenv("REVIEW3_KEEP") == "" {
		_ = os.RemoveAll(clu.dir)
	}
}

// controlAddresses returns the addresses for workers and operators.
func (clu *cluster) controlAddresses() []string {
	var out []string
	for _, no := range clu.cores {
		out = append(out, fmt.Sprintf("%s:%d", no.ip, clu.control))
	}
	return out
}

func (clu *cluster) frontAddress(num int) string {
	return fmt.Sprintf("%s:%d", clu.fronts[num].ip, clu.front)
}

// plain is a client that opens a connection for each call.
var plain = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call and returns the status, 0 for no response, and the body.
func call(method, address, host, path string, body any, timeout time.Duration) (int, []byte) {
	var rd io.Reader
	switch val := body.(type) {
	case nil:
	case []byte:
		rd = bytes.NewReader(val)
	case string:
		rd = strings.NewReader(val)
	default:
		buf, err := json.Marshal(val)
		if err != nil {
			return 0, nil
		}
		rd = bytes.NewReader(buf)
	}
	req, err := http.NewRequest(method, "http://"+address+path, rd)
	if err != nil {
		return 0, nil
	}
	if rd != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if host != "" {
		req.Host = host
		req.Header.Set("X-Guavarail-Deadline-Ms", strconv.Itoa(int(timeout.Milliseconds())))
	}
	cli := *plain
	cli.Timeout = timeout
	rsp, err := cli.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = rsp.Body.Close() }()
	buf, err := io.ReadAll(rsp.Body)
	if err != nil {
		return 0, nil
	}
	return rsp.StatusCode, buf
}

// operate sends an order of the operator until it has a clear answer, to one address after
// the other.
func (clu *cluster) operate(method, path string, body any, limit time.Duration) (int, []byte) {
	end := time.Now().Add(limit)
	for num := 0; time.Now().Before(end); num++ {
		adr := clu.controlAddresses()[num%len(clu.cores)]
		status, out := call(method, adr, "", path, body, time.Second)
		clu.rec.printf("operator %s %s at %s: %d", method, path, adr, status)
		if status >= 200 && status < 500 && status != 408 && status != 429 {
			return status, out
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, nil
}

// route is a queue of the configuration.
type route struct {
	Name            string  `json:"name"`
	Hostname        string  `json:"hostname"`
	PathPrefix      string  `json:"pathPrefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       int     `json:"timeoutMs"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	ServiceName     string  `json:"serviceName"`
	MaxAttempts     int     `json:"maxAttempts"`
	LatencyFactor   float64 `json:"latencyFactor"`
}

// service is a pool of the configuration.
type service struct {
	Name            string  `json:"name"`
	HealthPath      string  `json:"healthPath"`
	MaxConnections  int     `json:"maxConnections"`
	Protocol        string  `json:"protocol"`
	TLS             bool    `json:"tls"`
	ColdStartS      float64 `json:"coldStartS"`
	ColdPerS        float64 `json:"coldPerS"`
	RejectsOverload bool    `json:"rejectsOverload"`
	Standby         bool    `json:"standby"`
}

// configuration returns the body of Config.Replace.
func configuration(version int, routes []route, services []service) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// The queues and the service of all cases.
const (
	host        = "nony24.example"
	prefix      = "/lohu930/"
	watchPrefix = "/pule252/"
	serviceName = "huvo11a"
)

func usualConfiguration(version int, rejects bool) map[string]any {
	return configuration(version, []route{
		{Name: "r-3hwrr6x", Hostname: host, PathPrefix: prefix, Kind: "unsafe", TimeoutMs: 3000, TargetLatencyMs: 1200, Priority: 2, ServiceName: serviceName, MaxAttempts: 3, LatencyFactor: 1.5},
		{Name: "r-9n73hh2", Hostname: host, PathPrefix: watchPrefix, Kind: "unsafe", TimeoutMs: 3000, TargetLatencyMs: 3000, Priority: 0, ServiceName: serviceName, MaxAttempts: 3, LatencyFactor: 2.2},
	}, []service{{Name: serviceName, HealthPath: "/health", MaxConnections: 64, Protocol: "h1", RejectsOverload: rejects}})
}

// submit hands a job in until it is accepted, as a client with retries does.
func (clu *cluster) submit(path string, job any) bool {
	for num := range 20 {
		adr := clu.frontAddress(num % len(clu.fronts))
		status, _ := call(http.MethodPost, adr, host, path, job, 3*time.Second)
		clu.rec.printf("client POST %s at %s: %d", path, adr, status)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// leader returns the core machine that leads, by the address that answers to heartbeats
// name.
func (clu *cluster) leaderOf(address string) *node {
	for _, no := range clu.cores {
		if strings.HasPrefix(address, no.ip+":") {
			return no
		}
	}
	return nil
}
