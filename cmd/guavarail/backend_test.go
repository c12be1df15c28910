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

// backend is a backend server that counts the runs of each request. mu guards
// everything but srv.
type backend struct {
	srv *httptest.Server

	mu sync.Mutex
	// runs counts the runs of each request by its id.
	runs map[string]int
	// running is the number of running requests, and peak its highest value.
	running int
	peak    int
}

// newBackend starts a backend server of the service shop, which announces itself to
// the given entry VMs in turn until the test ends.
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

// serve responds with 1000 lines that contain the request's id. Between the two
// halves of the response it waits for the duration in the query parameter slow, such
// as 20ms.
func (bac *backend) serve(w http.ResponseWriter, req *http.Request) {
	id := req.URL.Query().Get("id")
	bac.mu.Lock()
	bac.runs[id]++
	bac.running++
	bac.peak = max(bac.peak, bac.running)
	bac.mu.Unlock()
	defer func() {
		bac.mu.Lock()
		bac.running--
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

// runsOf returns how often the request id ran.
func (bac *backend) runsOf(id string) int {
	bac.mu.Lock()
	defer bac.mu.Unlock()
	return bac.runs[id]
}

// announce announces the backend server every 300 ms until ctx ends, and then
// closes done.
func (bac *backend) announce(ctx context.Context, done chan<- struct{}, name string, vms []*vm) {
	defer close(done)
	body, _ := json.Marshal(rest.BackendAnnounce{
		Backend: name, Service: "shop", Worker: "w-" + name, Address: bac.srv.Listener.Addr().String(), Incarnation: 1,
	})
	cli := http.Client{Timeout: time.Second}
	for i := 0; ; i++ {
		// The announcements go to the VMs in turn, as they would through the
		// platform's load balancer.
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

// response is the response that a caller received.
type response struct {
	status int
	// outcome is the value of the outcome header: answered, notRun or unknown.
	outcome string
	// intact is true when the body is complete and belongs to the caller's own
	// request.
	intact bool
}

// sendRequest sends one request with the given id to an entry VM. query is appended
// to the URL, such as &slow=3s. Without a complete response, the result is zero.
func sendRequest(v *vm, method, id, query string, header map[string]string) response {
	req, _ := http.NewRequest(method, "http://"+v.callers+"/shop/x?id="+id+query, nil)
	for key, val := range header {
		req.Header.Set(key, val)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return response{}
	}
	return response{
		status: res.StatusCode, outcome: res.Header.Get("Guavarail-Outcome"),
		intact: res.StatusCode == http.StatusOK && string(body) == strings.Repeat(id+"\n", 1000),
	}
}
