package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"guavarail/io/wire"
)

const (
	// floodMemoryMB is the memory of the VM in the settings of the test, and maxPeakKB
	// the peak of the resident memory that its process may reach.
	floodMemoryMB = 96
	maxPeakKB     = floodMemoryMB << 10
	// floodFiles is the number of file descriptors in the settings of the test, which
	// the process must not exceed.
	floodFiles = 600
	// floodTimeout bounds the writing of one client of a flood.
	floodTimeout = 2 * time.Second
	// floodSamples samples of the open files are taken after a flood, with floodPause
	// between them.
	floodSamples = 15
	floodPause   = 100 * time.Millisecond
)

// floodVM is a process with all listeners of a VM of a cell.
type floodVM struct {
	t                                   *testing.T
	cmd                                 *exec.Cmd
	callers, ready, api, peers, metrics string
	// ended is closed when the process has ended.
	ended chan struct{}
}

// startFloodVM starts a cell of one VM that serves callers, workers and operators.
func startFloodVM(t *testing.T) *floodVM {
	t.Helper()
	dir, adrs := t.TempDir(), freeAddresses(t, 5)
	fvm := &floodVM{t: t, callers: adrs[0], ready: adrs[1], api: adrs[2], peers: adrs[3], metrics: adrs[4], ended: make(chan struct{})}
	text := fmt.Sprintf("[vm]\nname = vm-1\ncentre = c\nregion = test\ndataDir = %s\n[listen]\ncallers = %s\nready = %s\napi = %s\npeers = %s\nmetrics = %s\n"+
		"[cell]\nseeds = %s\nfound = yes\nlosses = 0\nvmMemoryMb = %d\nmaxFiles = %d\n",
		filepath.Join(dir, "data"), adrs[0], adrs[1], adrs[2], adrs[3], adrs[4], adrs[2], floodMemoryMB, floodFiles)
	settings, logFile := filepath.Join(dir, "vm.ini"), filepath.Join(dir, "vm.log")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(logFile)
	if err != nil {
		t.Fatal(err)
	}
	fvm.cmd = exec.Command(os.Args[0], "serve", "--settings", settings)
	fvm.cmd.Env, fvm.cmd.Stdout, fvm.cmd.Stderr = append(os.Environ(), runAsProgram+"=1"), log, log
	if err := fvm.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(fvm.ended)
		_ = fvm.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = fvm.cmd.Process.Kill()
		<-fvm.ended
		_ = log.Close()
		if t.Failed() {
			buf, _ := os.ReadFile(logFile)
			lines := strings.Split(string(buf), "\n")
			t.Logf("log:\n%s", strings.Join(lines[max(0, len(lines)-20):], "\n"))
		}
	})
	fvm.awaitAnswer(fvm.ready, "/readiness", http.StatusOK)
	return fvm
}

// awaitAnswer repeats a request on new connections until it is answered with the status.
func (fvm *floodVM) awaitAnswer(address, path string, status int) {
	fvm.t.Helper()
	cli := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	got := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		rsp, err := cli.Get("http://" + address + path)
		if err == nil {
			_ = rsp.Body.Close()
			if got = rsp.Status; rsp.StatusCode == status {
				return
			}
		}
	}
	fvm.t.Fatalf("no answer to an ordinary request within %v; last status %q", waitTimeout, got)
}

// procStatus returns a field of the status of the process, in its unit.
func (fvm *floodVM) procStatus(field string) int {
	fvm.t.Helper()
	buf, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", fvm.cmd.Process.Pid))
	if err != nil {
		fvm.t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(buf)) {
		if name, val, _ := strings.Cut(line, ":"); name == field {
			num, _ := strconv.Atoi(strings.Fields(val)[0])
			return num
		}
	}
	fvm.t.Fatalf("no %s in the status of the process", field)
	return 0
}

// files returns the number of open file descriptors of the process.
func (fvm *floodVM) files() int {
	fvm.t.Helper()
	dir, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", fvm.cmd.Process.Pid))
	if err != nil {
		fvm.t.Fatalf("the process has ended: %v", err)
	}
	return len(dir)
}

// flood opens connections to an address, on each of which write sends what it likes, and
// keeps them open until the test has ended. It returns once all have been written.
func (fvm *floodVM) flood(address string, clients int, write func(wr io.Writer) error) {
	fvm.t.Helper()
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			con, err := net.DialTimeout("tcp", address, floodTimeout)
			if err != nil {
				return
			}
			fvm.t.Cleanup(func() { _ = con.Close() })
			_ = con.SetDeadline(time.Now().Add(floodTimeout))
			wr := bufio.NewWriterSize(con, 64<<10)
			if write(wr) == nil {
				_ = wr.Flush()
			}
		})
	}
	group.Wait()
}

// check checks that the process lives within its bounds and answers an ordinary request.
func (fvm *floodVM) check() {
	fvm.t.Helper()
	// What the clients have written may still have to be accepted and read.
	files := 0
	for range floodSamples {
		files = max(files, fvm.files())
		time.Sleep(floodPause)
	}
	fvm.awaitAnswer(fvm.ready, "/readiness", http.StatusOK)
	// Without a configuration the answer to a caller is 503.
	fvm.awaitAnswer(fvm.callers, "/fit/1", http.StatusServiceUnavailable)
	select {
	case <-fvm.ended:
		fvm.t.Fatal("the process has ended")
	default:
	}
	peak := fvm.procStatus("VmHWM")
	fvm.t.Logf("peak of the resident memory %d kB, now %d kB, open files %d", peak, fvm.procStatus("VmRSS"), files)
	if peak > maxPeakKB {
		fvm.t.Errorf("peak of the resident memory %d kB, want at most %d kB", peak, maxPeakKB)
	}
	if files > floodFiles {
		fvm.t.Errorf("%d open files, want at most %d", files, floodFiles)
	}
}

// unfinishedBody returns a request with a declared body that lacks its last byte.
func unfinishedBody(size int) func(wr io.Writer) error {
	body := bytes.Repeat([]byte("x"), size-1)
	return func(wr io.Writer) error {
		_, _ = fmt.Fprintf(wr, "POST /fit/1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n", size)
		_, err := wr.Write(body)
		return err
	}
}

// unfinishedChunks returns a request with a chunked body that lacks its end.
func unfinishedChunks(size, chunk int) func(wr io.Writer) error {
	body := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return func(wr io.Writer) error {
		_, err := io.WriteString(wr, "POST /fit/1 HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n")
		for sent := 0; sent < size && err == nil; sent += chunk {
			_, err = wr.Write(body)
		}
		return err
	}
}

// endless returns a request that begins with head and goes on with the piece until size
// bytes have been sent.
func endless(head, piece string, size int) func(wr io.Writer) error {
	return func(wr io.Writer) error {
		_, err := io.WriteString(wr, head)
		for sent := 0; sent < size && err == nil; sent += len(piece) {
			_, err = io.WriteString(wr, piece)
		}
		return err
	}
}

// Guards against clients that make the process hold more memory than its VM has, by
// requests that each are legal or over a limit and that never end. 600 such bodies of
// 256 KiB took a process of 18 MB to 243 MB.
func TestFloodOfUnfinishedBodiesIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.callers, 400, unfinishedBody(256<<10))
	fvm.check()
}

// Guards against the same by bodies of 4 MiB less one byte.
func TestFloodOfLargeUnfinishedBodiesIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.callers, 50, unfinishedBody(4<<20))
	fvm.check()
}

// Guards against the same by chunked bodies in large chunks.
func TestFloodOfUnfinishedLargeChunksIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.callers, 400, unfinishedChunks(256<<10, 64<<10))
	fvm.check()
}

// Guards against the same by chunked bodies in chunks of a few bytes.
func TestFloodOfUnfinishedSmallChunksIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.callers, 400, unfinishedChunks(256<<10, 16))
	fvm.check()
}

// Guards against the same by request heads without an end.
func TestFloodOfEndlessHeadsIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.callers, 200, endless("GET /fit/1 HTTP/1.1\r\nHost: desk.example\r\n", "X-Pad: "+strings.Repeat("x", 60_000)+"\r\n", 1000<<10))
	fvm.check()
}

// Guards against the same by a request line without an end.
func TestFloodOfEndlessRequestLinesIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.callers, 200, endless("GET /", strings.Repeat("x", 1000), 1000<<10))
	fvm.check()
}

// Guards against the same by empty lines before a request.
func TestFloodOfEmptyLinesIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.callers, 200, endless("", strings.Repeat("\r\n", 500), 1000<<10))
	fvm.check()
}

// Guards against the same on the interface for workers and operators.
func TestFloodOfTheControlInterfaceIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.api, 50, unfinishedBody(4<<20))
	fvm.check()
}

// Guards against the same on the listeners for readiness and metrics.
func TestFloodOfTheOtherListenersIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	for _, adr := range []string{fvm.ready, fvm.metrics} {
		fvm.flood(adr, 100, endless("GET / HTTP/1.1\r\nHost: desk.example\r\n", "X-Pad: "+strings.Repeat("x", 60_000)+"\r\n", 1000<<10))
	}
	fvm.check()
}

// Guards against the same on the listener for other VMs, by frames that are announced
// with their largest size.
func TestFloodOfLinksIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.peers, 400, endless("\x00\x80\x00\x00", strings.Repeat("x", 1000), 256<<10))
	fvm.check()
}

// openLink returns a function that opens a link as a VM of the given number, and on it
// requests whose frames have announced their largest size and stop after 1 MiB.
func (fvm *floodVM) openLink(num int) func() {
	return func() {
		con, err := net.DialTimeout("tcp", fvm.peers, floodTimeout)
		if err != nil {
			return
		}
		fvm.t.Cleanup(func() { _ = con.Close() })
		hello, _ := proto.Marshal(&wire.Hello{Version: 1})
		env, _ := proto.Marshal(&wire.Envelope{From: fmt.Sprintf("127.0.0.1:%d", num), To: fvm.peers, Kind: "guavarail.wire.Hello", Body: hello})
		_, _ = con.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(env))), env...))
		cfg := yamux.DefaultConfig()
		cfg.LogOutput = io.Discard
		ses, err := yamux.Client(con, cfg)
		if err != nil {
			return
		}
		fvm.t.Cleanup(func() { _ = ses.Close() })
		for range 10 {
			if str, err := ses.OpenStream(); err == nil {
				_ = str.SetDeadline(time.Now().Add(floodTimeout))
				_, _ = str.Write(append([]byte("r\x00\x00\xff\xff\x00\x80\x00\x00"), make([]byte, 1<<20)...))
			}
		}
	}
}

// Guards against the same by frames on links that have been opened as by another VM.
func TestFloodOfUnfinishedFramesIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	var group sync.WaitGroup
	for num := range 20 {
		group.Go(fvm.openLink(1 + num))
	}
	group.Wait()
	fvm.check()
}

// Guards against one client that opens connections until the process has no file
// descriptor left.
func TestFloodOfConnectionsIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.callers, 2*floodFiles, endless("G", "", 0))
	fvm.check()
}
