package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// waitForText waits until a log file contains the text.
func waitForText(t *testing.T, file, text string) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if buf, _ := os.ReadFile(file); bytes.Contains(buf, []byte(text)) {
			return
		}
	}
	t.Fatalf("%s not in the log within %v", text, waitTimeout)
}

// Guards against a SIGHUP that ends an entry VM of a cell while it shuts down, so that the
// requests in flight get no answer.
func TestReloadDuringShutdownCutsNothing(t *testing.T) {
	dir, adrs := t.TempDir(), freeAddresses(t, 3)
	settings, logFile := filepath.Join(dir, "entry.ini"), filepath.Join(dir, "entry.log")
	text := fmt.Sprintf("[vm]\nname = entry-1\ncentre = c\nregion = test\n[listen]\ncallers = %s\nready = %s\npeers = %s\n[cell]\nseeds = 127.0.0.1:1\ngraceSeconds = 6\n",
		adrs[0], adrs[1], adrs[2])
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(logFile)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(os.Args[0], "serve", "--settings", settings)
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), runAsProgram+"=1"), log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }()
	waitForText(t, logFile, "serving")
	_ = cmd.Process.Signal(syscall.SIGHUP)
	waitForText(t, logFile, "settings reloaded")
	cli, err := net.Dial("tcp", adrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cli.Close() }()
	answers := bufio.NewReader(cli)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	waitForText(t, logFile, "vmDraining")
	_, _ = io.WriteString(cli, "GET /fit/1 HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	_ = cmd.Process.Signal(syscall.SIGHUP)
	// No VM leads, so the complete answer is 503.
	if rsp, err := http.ReadResponse(answers, nil); err != nil || rsp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("answer during the shutdown: %v, %v, want status 503", rsp, err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("the process ended with %v", err)
	}
	waitForText(t, logFile, "stopped")
}
