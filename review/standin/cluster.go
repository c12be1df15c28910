package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// vm is one process of the program under review.
type vm struct {
	name, ip, zone string
	control        bool
	settings       string
	cmd            *exec.Cmd
	ended          chan struct{}
}

// cluster is a small deployment: three control VMs with a disk and three entry VMs, in
// three zones, each on a loopback address of its own.
type cluster struct {
	rec      *recorder
	dir      string
	program  string
	controls []*vm
	entries  []*vm
	// The ports are the same on all VMs.
	api, peers, metrics, front, ready int
}

var zones = []string{"musanze", "rubavu", "nyabihu"}

// freePorts returns ports that are free on all addresses of the deployment.
func freePorts(num int) []int {
	var ports []int
	for port := 21000; len(ports) < num; port++ {
		free := true
		for _, ip := range append(controlIPs(), entryIPs()...) {
			lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = lis.Close()
		}
		if free {
			ports = append(ports, port)
		}
	}
	return ports
}

// subnet returns the first two parts of the loopback addresses of this play, so that plays
// at the same time don't meet.
func subnet() string { return fmt.Sprintf("127.%d.%d", 10+os.Getpid()/200%200, 1+os.Getpid()%200) }

func controlIPs() []string { return ips(11) }

func entryIPs() []string { return ips(21) }

func workerIP() string { return subnet() + ".31" }

func ips(first int) []string {
	var out []string
	for i := range zones {
		out = append(out, fmt.Sprintf("%s.%d", subnet(), first+i))
	}
	return out
}

// newCluster writes the settings, as the templates of the deploy file do, and starts all
// processes.
func newCluster(rec *recorder, program, dir string) (*cluster, error) {
	ports := freePorts(5)
	clu := &cluster{rec: rec, dir: dir, program: program, api: ports[0], peers: ports[1], metrics: ports[2], front: ports[3], ready: ports[4]}
	for i := range zones {
		clu.controls = append(clu.controls, &vm{name: "core-" + zones[i] + "-1", ip: controlIPs()[i], zone: zones[i], control: true})
		clu.entries = append(clu.entries, &vm{name: "frontend-" + zones[i] + "-1", ip: entryIPs()[i], zone: zones[i]})
	}
	for _, node := range clu.all() {
		if err := clu.writeSettings(node, true); err != nil {
			return clu, err
		}
		if err := clu.start(node); err != nil {
			return clu, err
		}
	}
	return clu, nil
}

func (clu *cluster) all() []*vm { return append(append([]*vm(nil), clu.controls...), clu.entries...) }

// writeSettings fills in deploy/control.ini or deploy/entry.ini.
func (clu *cluster) writeSettings(node *vm, bootstrap bool) error {
	var seeds []string
	for _, con := range clu.controls {
		seeds = append(seeds, fmt.Sprintf("%s:%d", con.ip, clu.api))
	}
	text := fmt.Sprintf("[vm]\nname = %s\ncentre = %s\nregion = rw-north\n", node.name, node.zone)
	if node.control {
		text += fmt.Sprintf("dataDir = %s\n", filepath.Join(clu.dir, "data-"+node.name))
		text += fmt.Sprintf("\n[listen]\napi = %s:%d\npeers = %s:%d\nmetrics = %s:%d\n", node.ip, clu.api, node.ip, clu.peers, node.ip, clu.metrics)
		text += fmt.Sprintf("\n[cell]\nseeds = %s\nfound = %v\nlosses = 1\nkeepSeconds = 120\nholdMaxMs = 10000\npaceDelayMs = 100\ngraceSeconds = 6\nmemoryMb = 280\n",
			strings.Join(seeds, ","), bootstrap)
	} else {
		text += fmt.Sprintf("\n[listen]\ncallers = %s:%d\nready = %s:%d\npeers = %s:%d\nmetrics = %s:%d\n", node.ip, clu.front, node.ip, clu.ready, node.ip, clu.peers, node.ip, clu.metrics)
		text += fmt.Sprintf("\n[cell]\nseeds = %s\nlosses = 1\ngraceSeconds = 6\n", strings.Join(seeds, ","))
	}
	node.settings = filepath.Join(clu.dir, node.name+".ini")
	return os.WriteFile(node.settings, []byte(text), 0o644)
}

// start starts the process of a VM with the command of the deploy file.
func (clu *cluster) start(node *vm) error {
	log, err := os.OpenFile(filepath.Join(clu.dir, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(clu.program, "serve", "--settings", node.settings)
	cmd.Stdout, cmd.Stderr = log, log
	// The processes end with this one, however it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	node.cmd, node.ended = cmd, make(chan struct{})
	clu.rec.printf("process %s started, pid %d", node.name, cmd.Process.Pid)
	go func(ended chan struct{}) {
		err := cmd.Wait()
		clu.rec.printf("process %s ended: %v", node.name, err)
		close(ended)
	}(node.ended)
	return nil
}

// signal sends a signal to the process of a VM.
func (clu *cluster) signal(node *vm, sig syscall.Signal) {
	clu.rec.printf("signal %v to %s", sig, node.name)
	_ = node.cmd.Process.Signal(sig)
}

// kill ends the process of a VM and waits for its end.
func (clu *cluster) kill(node *vm) {
	clu.signal(node, syscall.SIGKILL)
	<-node.ended
}

// stop ends all processes.
func (clu *cluster) stop() {
	for _, node := range clu.all() {
		if node.cmd != nil {
			_ = node.cmd.Process.Signal(syscall.SIGCONT)
			clu.kill(node)
		}
	}
}

// alive reports whether the process of a VM runs.
func (node *vm) alive() bool {
	select {
	case <-node.ended:
		return false
	default:
		return true
	}
}

func (clu *cluster) apiAddr(node *vm) string { return fmt.Sprintf("%s:%d", node.ip, clu.api) }

func (clu *cluster) frontAddr(node *vm) string { return fmt.Sprintf("%s:%d", node.ip, clu.front) }

// awaitReady waits until the entry VMs report that they are ready.
func (clu *cluster) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		num := 0
		for _, node := range clu.entries {
			rsp, err := shortClient.Get(fmt.Sprintf("http://%s:%d/readiness", node.ip, clu.ready))
			if err == nil {
				_ = rsp.Body.Close()
				if rsp.StatusCode == http.StatusOK {
					num++
				}
			}
		}
		if num == len(clu.entries) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// shortClient waits for a second, as workers and operators do.
var shortClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
