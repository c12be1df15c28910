package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// floodHost is the host of the queue in floodConfig.
const floodHost = "desk.example"

// floodConfig is a configuration with one queue; %d is its version and %s are further
// queues, each with a comma before it.
const floodConfig = `{"version":%d,"routes":[{"name":"r-1","hostname":"desk.example","pathPrefix":"/fit/","kind":"unsafe","timeoutMs":3000,` +
	`"targetLatencyMs":1200,"priority":0,"serviceName":"desk","maxAttempts":3,"latencyFactor":1.5}%s],` +
	`"services":[{"name":"desk","rejectsOverload":true}],"limits":{%s}}`

// configure puts a configuration in force on the leader.
func (fvm *floodVM) configure(version int, queues, limits string) {
	fvm.t.Helper()
	fvm.awaitReply(http.MethodPost, fvm.api, pathConfigure, fmt.Sprintf(floodConfig, version, queues, limits), http.StatusOK)
}

// checkConfigured is check for a cell with a configuration in force.
func (fvm *floodVM) checkConfigured() {
	fvm.t.Helper()
	fvm.checkAnswers(func() {
		fvm.awaitAnswer(fvm.ready, "/readiness", http.StatusOK)
		fvm.awaitAnswer(fvm.callers, "/fit/", http.StatusOK)
	})
}

// manyFields returns a request whose head has as many short fields as fit in size bytes,
// and whose body does not come.
func manyFields(size int) func(wr io.Writer) error {
	var head bytes.Buffer
	head.WriteString("POST /fit/1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 100\r\n")
	for num := 0; head.Len() < size; num++ {
		fmt.Fprintf(&head, "%x:\r\n", num)
	}
	head.WriteString("\r\n")
	return func(wr io.Writer) error {
		_, err := wr.Write(head.Bytes())
		return err
	}
}

// chunkParts returns a request with a chunked body whose chunks have long extensions and
// whose trailer does not end.
func chunkParts() func(wr io.Writer) error {
	return func(wr io.Writer) error {
		_, err := io.WriteString(wr, "POST /fit/1 HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\nTrailer: x\r\n\r\n")
		for range 200 {
			if err == nil {
				_, err = io.WriteString(wr, "1;"+strings.Repeat("x", 2000)+"\r\nx\r\n")
			}
		}
		for num := range 200 {
			if err == nil {
				_, err = fmt.Fprintf(wr, "%sX-%d: %s\r\n", map[bool]string{true: "0\r\n"}[num == 0], num, strings.Repeat("x", 2000))
			}
		}
		return err
	}
}

// wholeRequests returns complete requests with a body, one after the other, whose answers
// are not read.
func wholeRequests(method, path, body string, count int) func(wr io.Writer) error {
	return func(wr io.Writer) error {
		for range count {
			if _, err := fmt.Fprintf(wr, "%s %s HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body); err != nil {
				return err
			}
		}
		return nil
	}
}

// smallValues returns a job of size bytes that is made of empty steps.
func smallValues(size int) string {
	return `{"taskSpec":"x","steps":[` + strings.Repeat("{},", size/3) + `{}]}`
}

// Guards against chunked bodies of nearly the largest size, whose buffers outlive their
// connections until they are collected.
func TestFloodOfChunkedBodiesOfLegalSizeIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.callers, 200, unfinishedChunks(60*64<<10, 64<<10))
	fvm.check()
}

// Guards against floods of several kinds, one after the other on all listeners of one
// process, each of which leaves memory that is not collected yet.
func TestFloodsInTurnAreBounded(t *testing.T) {
	fvm := startFloodVM(t)
	for _, adr := range []string{fvm.callers, fvm.api, fvm.ready, fvm.metrics} {
		for _, write := range []func(wr io.Writer) error{
			unfinishedChunks(60*64<<10, 64<<10), unfinishedBody(4 << 20), unfinishedBody(256 << 10), manyFields(32 << 10),
			endless("GET /fit/1 HTTP/1.1\r\nHost: desk.example\r\n", "X-Pad: "+strings.Repeat("x", 60_000)+"\r\n", 256<<10),
		} {
			fvm.flood(adr, 50, write)
		}
	}
	fvm.check()
}

// Guards against heads that parse into many fields, each of which takes more memory than
// its bytes.
func TestFloodOfHeadsWithManyFieldsIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.callers, 400, manyFields(32<<10))
	fvm.check()
}

// Guards against the same by heads that are too small to be counted by their bytes.
func TestFloodOfSmallHeadsWithManyFieldsIsBounded(t *testing.T) {
	fvm := startFloodVMWith(t, floodSpec{memoryMB: floodMemoryMB, files: 4100})
	fvm.flood(fvm.callers, 1500, manyFields(4<<10))
	fvm.check()
}

// Guards against long chunk extensions and trailers without an end.
func TestFloodOfChunkExtensionsAndTrailersIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.callers, 200, chunkParts())
	fvm.check()
}

// Guards against requests that are sent one after the other while no answer is read.
func TestFloodOfUnreadAnswersIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.configure(1, "", "")
	fvm.flood(fvm.callers, 300, wholeRequests(http.MethodGet, "/fit/", "", 20_000))
	fvm.checkConfigured()
}

// Guards against whole bodies of legal size that decode into many small values.
func TestFloodOfSmallValuesIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.configure(1, "", "")
	fvm.flood(fvm.callers, 10, wholeRequests(http.MethodPost, "/fit/00000000000000aa", smallValues(3<<20), 1))
	fvm.checkConfigured()
}

// Guards against the same by rows of heartbeats.
func TestFloodOfSmallRowsIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.configure(1, "", "")
	body := `{"sequence":1,"ended":[` + strings.Repeat("[],", 1<<20) + `[]]}`
	fvm.flood(fvm.api, 10, wholeRequests(http.MethodPost, pathHeartbeat+"w-1", body, 1))
	fvm.checkConfigured()
}

// Guards against slow readers of a large configuration.
func TestFloodOfSlowReadersIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	queue := `,{"name":"r-%d","hostname":"h-%d.example","pathPrefix":"/` + strings.Repeat("p", 500) + `/","kind":"unsafe","timeoutMs":3000,` +
		`"targetLatencyMs":1200,"priority":0,"serviceName":"desk","maxAttempts":3,"latencyFactor":1.5}`
	var queues strings.Builder
	for num := range 1500 {
		fmt.Fprintf(&queues, queue, num+2, num)
	}
	fvm.configure(1, queues.String(), "")
	fvm.flood(fvm.api, 300, wholeRequests(http.MethodGet, "/Config.Read", "", 10))
	fvm.checkConfigured()
}

// Guards against a flood that goes on while a configuration lowers the limits of a request.
func TestFloodWhileLimitsAreLoweredIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.configure(1, "", "")
	fvm.flood(fvm.callers, 100, unfinishedBody(4<<20))
	fvm.configure(2, "", `"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000`)
	fvm.flood(fvm.callers, 100, unfinishedBody(4<<20))
	fvm.flood(fvm.callers, 200, unfinishedChunks(256<<10, 64<<10))
	fvm.checkConfigured()
}

// Guards against a shutdown that does not end while clients keep their requests open.
func TestShutdownDuringAFloodEnds(t *testing.T) {
	fvm := startFloodVM(t)
	fvm.flood(fvm.callers, 200, unfinishedBody(256<<10))
	fvm.flood(fvm.api, 20, unfinishedBody(4<<20))
	_ = fvm.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-fvm.ended:
	case <-time.After(waitTimeout):
		t.Fatalf("the process has not ended within %v", waitTimeout)
	}
	if state := fvm.cmd.ProcessState; state.ExitCode() != 0 {
		t.Errorf("the process ended with %v", state)
	}
}

// startFloodCell starts a VM with a disk, which leads, and VMs without one that forward the
// calls of callers to it. All have the bounds of startFloodVM.
func startFloodCell(t *testing.T, forwarders int) (*floodVM, []*floodVM) {
	t.Helper()
	ports := freePorts(t, 3)
	spec := floodSpec{memoryMB: floodMemoryMB, files: floodFiles}
	address := func(num, port int) string { return fmt.Sprintf("127.0.9.%d:%d", num, ports[port]) }
	leader := &floodVM{t: t, name: "vm-1", ready: address(1, 2), api: address(1, 1), peers: address(1, 0), memoryMB: spec.memoryMB, files: spec.files}
	leader.start(leader.cellSettings(t.TempDir(), leader.api)+spec.settings(), floodSpec{})
	leader.configure(1, "", "")
	var out []*floodVM
	for num := range forwarders {
		fvm := &floodVM{
			t: t, name: fmt.Sprintf("vm-%d", 2+num), callers: address(2+num, 1), ready: address(2+num, 2), peers: address(2+num, 0),
			memoryMB: spec.memoryMB, files: spec.files,
		}
		fvm.start(fvm.cellSettings("", leader.api)+spec.settings(), floodSpec{})
		out = append(out, fvm)
	}
	for _, fvm := range out {
		fvm.awaitAnswer(fvm.callers, "/fit/", http.StatusOK)
	}
	return leader, out
}

// freePorts returns ports that are not in use on any loopback address.
func freePorts(t *testing.T, num int) []int {
	t.Helper()
	var out []int
	for range num {
		lis, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = lis.Close() }()
		out = append(out, lis.Addr().(*net.TCPAddr).Port)
	}
	return out
}

// Guards against what a leader holds of whole bodies of legal size that several VMs
// forward to it at once.
func TestFloodOfForwardedBodiesIsBounded(t *testing.T) {
	for _, size := range []int{128 << 10, 1 << 20, 4 << 20} {
		t.Run(fmt.Sprintf("%dKiB", size>>10), func(t *testing.T) {
			leader, forwarders := startFloodCell(t, 4)
			body := `{"taskSpec":"` + strings.Repeat("x", size-100) + `","steps":[]}`
			var group sync.WaitGroup
			for _, fvm := range forwarders {
				group.Go(func() { fvm.flood(fvm.callers, 100, wholeRequests(http.MethodPost, "/fit/00000000000000aa", body, 5)) })
			}
			group.Wait()
			for _, fvm := range forwarders {
				fvm.checkConfigured()
			}
			leader.checkAnswers(func() { leader.awaitAnswer(leader.api, "/Config.Read", http.StatusOK) })
		})
	}
}

// Guards against frames that are sent on links which another VM without a known address has
// opened long before.
func TestFloodOfOldLinksIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	const age = 31 * time.Second
	var group sync.WaitGroup
	for num := range 20 {
		group.Go(fvm.openLink(1+num, age))
	}
	group.Wait()
	fvm.check()
}

// awaitLink waits until a VM that the process does not know can open a link.
func (fvm *floodVM) awaitLink() {
	fvm.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ses, err := fvm.dialLink("127.0.0.1:65000")
		if err != nil {
			continue
		}
		if _, err := ses.Ping(); err == nil {
			return
		}
	}
	fvm.t.Fatalf("no link within %v", waitTimeout)
}

// Guards against links that are opened as by many VMs until the process has no file
// descriptor left.
func TestFloodOfNamedLinksIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	for num := range 2 * floodFiles {
		_, _ = fvm.dialLink(fmt.Sprintf("127.0.0.1:%d", num))
	}
	fvm.awaitLink()
	fvm.check()
}

// Guards against links of VMs that are gone and keep the links of others out.
func TestFloodOfEndedLinksKeepsNobodyOut(t *testing.T) {
	fvm := startFloodVM(t)
	for num := range 3100 {
		if ses, err := fvm.dialLink(fmt.Sprintf("127.0.0.1:%d", num)); err == nil {
			_ = ses.Close()
		}
	}
	fvm.awaitLink()
	fvm.check()
}

// Guards against messages of types that do not exist, whose names are kept for ever.
func TestFloodOfUnknownMessagesIsBounded(t *testing.T) {
	fvm := startFloodVM(t)
	const name = "127.0.0.1:1"
	ses, err := fvm.dialLink(name)
	if err != nil {
		t.Fatal(err)
	}
	for num := range 200 {
		str, err := ses.OpenStream()
		if err != nil {
			break
		}
		_ = str.SetDeadline(time.Now().Add(floodTimeout))
		kind := fmt.Sprintf("x%d.%s", num, strings.Repeat("x", 1<<20))
		_, _ = str.Write(append([]byte("r\x00\x00\xff\xff"), linkFrame(name, fvm.peers, kind, nil)...))
		_, _ = io.Copy(io.Discard, str)
		_ = str.Close()
	}
	fvm.check()
}

// Guards against log lines with texts of clients that wait for a reader of the log.
func TestFloodOfLongPathsWithABlockedLogIsBounded(t *testing.T) {
	fvm := startFloodVMWith(t, floodSpec{memoryMB: floodMemoryMB, files: floodFiles, blockedLog: true})
	fvm.configure(1, "", "")
	for range 20 {
		fvm.flood(fvm.callers, 250, wholeRequests(http.MethodPost, "/fit/"+strings.Repeat("x", 30_000), "{}", 1))
	}
	fvm.checkConfigured()
}

// Guards against a flood in a process whose settings have no bounds: it has those of the
// machine and of the resource limits under which it runs.
func TestFloodWithoutSettingsIsBounded(t *testing.T) {
	const dataMB = 400
	spec := floodSpec{environment: []string{fmt.Sprintf("%s=%d", dataLimitMB, dataMB), fmt.Sprintf("%s=%d", filesLimit, floodFiles)}}
	fvm := startFloodVMWith(t, spec)
	fvm.memoryMB, fvm.files = dataMB, floodFiles
	fvm.flood(fvm.callers, 2*floodFiles, endless("G", "", 0))
	fvm.check()
	fvm.flood(fvm.callers, 200, unfinishedChunks(60*64<<10, 64<<10))
	fvm.flood(fvm.api, 200, unfinishedBody(4<<20))
	fvm.check()
}

// startFloodEntry starts a VM with the product's own interfaces and its own settings.
func startFloodEntry(t *testing.T) *floodVM {
	t.Helper()
	adrs := freeAddresses(t, 3)
	fvm := &floodVM{t: t, name: "a-1", callers: adrs[0], api: adrs[1], peers: adrs[2], memoryMB: floodMemoryMB, files: floodFiles}
	text := fmt.Sprintf("[vm]\nname = a-1\ncentre = a\nregion = test\ndataDir = %s\n[listen]\ncallers = %s\napi = %s\npeers = %s\n",
		filepath.Join(t.TempDir(), "data"), fvm.callers, fvm.api, fvm.peers)
	text += fmt.Sprintf("[limits]\nvmMemoryMb = %d\nmaxFiles = %d\n", fvm.memoryMB, fvm.files)
	text += fmt.Sprintf("[vms.a-1]\ncentre = a\npeer = %s\napi = %s\ncallers = %s\ndisk = yes\n", fvm.peers, fvm.api, fvm.callers)
	fvm.start(text, floodSpec{})
	fvm.awaitAnswer(fvm.api, "/readyz", http.StatusOK)
	return fvm
}

// checkEntry is check for a VM of startFloodEntry. Without a backend server the answer to a
// caller is 503.
func (fvm *floodVM) checkEntry() {
	fvm.t.Helper()
	fvm.checkAnswers(func() {
		fvm.awaitAnswer(fvm.callers, "/shop/1", http.StatusServiceUnavailable)
		fvm.awaitAnswer(fvm.api, "/readyz", http.StatusOK)
	})
}

// Guards against heads without an end on the request path of the product.
func TestFloodOfTheEntryByHeadsIsBounded(t *testing.T) {
	fvm := startFloodEntry(t)
	fvm.flood(fvm.callers, 500, endless("GET /shop/1 HTTP/1.1\r\nHost: desk.example\r\n", "X-Pad: "+strings.Repeat("x", 10_000)+"\r\n", 60<<10))
	fvm.flood(fvm.callers, 500, manyFields(60<<10))
	fvm.checkEntry()
}

// Guards against bodies without an end on the request path of the product.
func TestFloodOfTheEntryByBodiesIsBounded(t *testing.T) {
	fvm := startFloodEntry(t)
	fvm.flood(fvm.callers, 200, unfinishedBody(4<<20))
	fvm.flood(fvm.callers, 200, unfinishedChunks(60*64<<10, 64<<10))
	fvm.checkEntry()
}

// Guards against bodies of the API of the product that decode into many small values.
func TestFloodOfTheProductsAPIIsBounded(t *testing.T) {
	fvm := startFloodEntry(t)
	for path, field := range map[string]string{"/v1/workers/report": "attempts", "/v1/presets": "services"} {
		body := fmt.Sprintf(`{"%s":[%s{}]}`, field, strings.Repeat("{},", 300_000))
		fvm.flood(fvm.api, 50, wholeRequests(http.MethodPost, path, body, 1))
	}
	fvm.flood(fvm.api, 300, unfinishedBody(1<<20))
	fvm.checkEntry()
}

// Guards against connections that take all file descriptors of the product.
func TestFloodOfTheEntryByConnectionsIsBounded(t *testing.T) {
	fvm := startFloodEntry(t)
	fvm.flood(fvm.callers, 2*floodFiles, endless("G", "", 0))
	fvm.checkEntry()
}
