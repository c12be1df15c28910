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
	"testing"
	"time"
)

// runAsProgram is the environment variable that makes the test binary run main, so
// that tests can start real processes without building the program.
const runAsProgram = "GUAVARAIL_TEST_PROGRAM"

// waitTimeout limits each wait. It is long because its only purpose is to end a test
// that hangs: no test checks how long something takes.
const waitTimeout = 3 * time.Minute

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		setResourceLimits()
		main()
		return
	}
	os.Exit(m.Run())
}

// vm is one entry VM of a cluster, which runs as a separate process. callers, api
// and peer are the addresses that it listens on, and settings is the path of its
// settings file.
type vm struct {
	name, centre       string
	callers, api, peer string
	settings           string
	// cmd is the process; nil when the VM isn't running.
	cmd *exec.Cmd
	log *os.File
}

// cluster is a set of entry VMs on loopback addresses.
type cluster struct {
	t *testing.T
	// dir contains the settings file, log file and data directory of each VM.
	dir string
	vms []*vm
}

// newCluster starts one entry VM for each name, which has the form CENTRE-NUMBER,
// and waits until all are ready. They are killed at the end of the test, and their
// logs are shown if it failed.
func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	clu := &cluster{t: t, dir: t.TempDir()}
	for _, name := range names {
		centre := name[:strings.LastIndexByte(name, '-')]
		adrs := freeAddresses(t, 3)
		clu.vms = append(clu.vms, &vm{name: name, centre: centre, callers: adrs[0], api: adrs[1], peer: adrs[2]})
	}
	for _, v := range clu.vms {
		clu.writeSettings(v)
		clu.start(v)
	}
	t.Cleanup(func() {
		for _, v := range clu.vms {
			clu.kill(v)
		}
		if t.Failed() {
			clu.showLogs()
		}
	})
	for _, v := range clu.vms {
		clu.waitReady(v)
	}
	return clu
}

// issued are the addresses that freeAddresses has returned.
var issued sync.Map

// freeAddresses returns num loopback addresses that it has not returned before, with ports
// that are not in use. The ports are not reserved: the kernel may give out one again once its
// listener is closed.
func freeAddresses(t *testing.T, num int) []string {
	t.Helper()
	var out []string
	for len(out) < num {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = lis.Close() }()
		adr := lis.Addr().String()
		if _, again := issued.LoadOrStore(adr, true); !again {
			out = append(out, adr)
		}
	}
	return out
}

// Guards against two VMs of a test that get the same address, with which they don't start.
func TestFreeAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		for _, adr := range freeAddresses(t, 3) {
			if seen[adr] {
				t.Fatalf("%s is returned twice", adr)
			}
			seen[adr] = true
		}
	}
}

func (clu *cluster) writeSettings(v *vm) {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "[vm]\nname = %s\ncentre = %s\nregion = test\ndataDir = %s\n", v.name, v.centre, filepath.Join(clu.dir, v.name))
	fmt.Fprintf(&buf, "[listen]\ncallers = %s\napi = %s\npeers = %s\n", v.callers, v.api, v.peer)
	for _, o := range clu.vms {
		fmt.Fprintf(&buf, "[vms.%s]\ncentre = %s\npeer = %s\napi = %s\ncallers = %s\ndisk = yes\n", o.name, o.centre, o.peer, o.api, o.callers)
	}
	v.settings = filepath.Join(clu.dir, v.name+".ini")
	if err := os.WriteFile(v.settings, buf.Bytes(), 0o600); err != nil {
		clu.t.Fatal(err)
	}
}

// start starts the process of a VM. Its output is appended to the log file of the VM.
func (clu *cluster) start(v *vm) {
	clu.t.Helper()
	log, err := os.OpenFile(filepath.Join(clu.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		clu.t.Fatal(err)
	}
	v.log = log
	v.cmd = exec.Command(os.Args[0], "serve", "--settings", v.settings)
	v.cmd.Env = append(os.Environ(), runAsProgram+"=1")
	v.cmd.Stdout, v.cmd.Stderr = log, log
	if err := v.cmd.Start(); err != nil {
		clu.t.Fatal(err)
	}
}

// kill kills the process of a VM with SIGKILL, also when it is frozen, and waits for
// its end. It does nothing when the VM isn't running.
func (clu *cluster) kill(v *vm) {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Signal(syscall.SIGCONT)
	_ = v.cmd.Process.Kill()
	_ = v.cmd.Wait()
	_ = v.log.Close()
	v.cmd = nil
}

func (clu *cluster) signal(v *vm, sig syscall.Signal) {
	clu.t.Helper()
	if err := v.cmd.Process.Signal(sig); err != nil {
		clu.t.Fatal(err)
	}
}

// showLogs writes the last 40 lines of each VM's log to the test log.
func (clu *cluster) showLogs() {
	for _, v := range clu.vms {
		log, _ := os.ReadFile(filepath.Join(clu.dir, v.name+".log"))
		lines := strings.Split(string(log), "\n")
		clu.t.Logf("log of %s:\n%s", v.name, strings.Join(lines[max(0, len(lines)-40):], "\n"))
	}
}

func (clu *cluster) waitReady(v *vm) {
	clu.t.Helper()
	clu.waitUntil("VM "+v.name+" is ready", func() bool {
		res, err := http.Get("http://" + v.api + "/readyz")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// waitUntil polls cond until it is true. It fails the test after waitTimeout; what
// describes the condition.
func (clu *cluster) waitUntil(what string, cond func() bool) {
	clu.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for !cond() {
		select {
		case <-ctx.Done():
			clu.t.Fatalf("timed out waiting until %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// run runs a command against the API of the given VM. It returns the exit code and
// the standard output, with the standard error appended if the code isn't 0.
func (clu *cluster) run(v *vm, args ...string) (string, int) {
	clu.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsProgram+"=1", "GUAVARAIL_API="+v.api, "GUAVARAIL_OPERATOR=test")
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	if cmd.ProcessState == nil {
		clu.t.Fatal(err)
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 {
		return out.String() + errs.String(), code
	}
	return out.String(), 0
}

// mustRun repeats a command until it succeeds, since it can fail during an election.
// It returns the standard output.
func (clu *cluster) mustRun(v *vm, args ...string) string {
	clu.t.Helper()
	var out string
	clu.waitUntil("guavarail "+strings.Join(args, " ")+" succeeds", func() bool {
		var code int
		out, code = clu.run(v, args...)
		return code == 0
	})
	return out
}

// get decodes the JSON response to GET path of the VM's API; ok is false without a
// valid response of status 200.
func get[T any](v *vm, path string) (val T, ok bool) {
	cli := http.Client{Timeout: 5 * time.Second}
	res, err := cli.Get("http://" + v.api + path)
	if err != nil {
		return val, false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return val, false
	}
	return val, json.Unmarshal(body, &val) == nil
}
