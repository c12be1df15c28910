package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"guavarail/io/rest"
)

// backend is a backend server that counts the runs of each request.
type backend struct {
	srv *httptest.Server

	mu   sync.Mutex
	runs map[string]int
	busy int
	most int
}

// newBackend starts a backend server of the service shop that announces itself
// to the given VMs until the test ends.
func newBackend(t *testing.T, name string, vms ...*vm) *backend {
	t.Helper()
	bac := &backend{runs: map[string]int{}}
	bac.srv = httptest.NewServer(http.HandlerFunc(bac.serve))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go bac.announce(ctx, done, name, vms)
	t.Cleanup(func() {
		cancel()
		<-done
		bac.srv.CloseClientConnections()
		bac.srv.Close()
	})
	return bac
}

// serve answers with the identifier of the request, after the time that the
// caller asked for.
func (bac *backend) serve(w http.ResponseWriter, req *http.Request) {
	id := req.URL.Query().Get("id")
	bac.mu.Lock()
	bac.runs[id]++
	bac.busy++
	bac.most = max(bac.most, bac.busy)
	bac.mu.Unlock()
	defer func() {
		bac.mu.Lock()
		bac.busy--
		bac.mu.Unlock()
	}()
	_, _ = io.Copy(io.Discard, req.Body)
	slow, _ := time.ParseDuration(req.URL.Query().Get("slow"))
	body := strings.Repeat(id+"\n", 1000)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body[:len(body)/2])
	w.(http.Flusher).Flush()
	time.Sleep(slow)
	_, _ = io.WriteString(w, body[len(body)/2:])
}

func (bac *backend) ran(id string) int {
	bac.mu.Lock()
	defer bac.mu.Unlock()
	return bac.runs[id]
}

func (bac *backend) announce(ctx context.Context, done chan<- struct{}, name string, vms []*vm) {
	defer close(done)
	body, _ := json.Marshal(rest.BackendAnnounce{
		Backend: name, Service: "shop", Worker: "w-" + name, Address: bac.srv.Listener.Addr().String(), Incarnation: 1,
	})
	cli := http.Client{Timeout: time.Second}
	for i := 0; ; i++ {
		// The platform's load balancer sends each announcement to another VM.
		res, err := cli.Post("http://"+vms[i%len(vms)].api+rest.PathBackendAnnounce, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = res.Body.Close()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	// whole says that the body is that of the caller's own request.
	whole bool
}

// call sends one request. Without an answer the status is 0.
func call(v *vm, method, id, query string, header map[string]string) answer {
	req, _ := http.NewRequest(method, "http://"+v.callers+"/shop/x?id="+id+query, nil)
	for key, val := range header {
		req.Header.Set(key, val)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{}
	}
	return answer{
		status: res.StatusCode, outcome: res.Header.Get("Guavarail-Outcome"),
		whole: res.StatusCode == http.StatusOK && string(body) == strings.Repeat(id+"\n", 1000),
	}
}
