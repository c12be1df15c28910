package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Guards against a VM that ends when the reader of its log does.
func TestVMOutlivesTheReaderOfItsLog(t *testing.T) {
	adrs := freeAddresses(t, 4)
	settings := filepath.Join(t.TempDir(), "entry.ini")
	text := fmt.Sprintf("[vm]\nname = entry-1\ncentre = c\nregion = test\n[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n[cell]\nseeds = 127.0.0.1:1\ngraceSeconds = 6\n",
		adrs[0], adrs[1], adrs[2], adrs[3])
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "serve", "--settings", settings)
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), runAsProgram+"=1"), writer, writer
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	// The first line shows that the signals are handled.
	if _, err := reader.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = reader.Close()
	// Each reload writes a line.
	for range 5 {
		_ = cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
	}
	select {
	case err := <-ended:
		t.Fatalf("the VM ended by itself: %v", err)
	default:
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Errorf("the VM ended with %v", err)
	}
}
