package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"guavarail/io/rest"
)

// jobVM keeps the jobs of its data centre and passes those of another one on.
type jobVM struct {
	// mu is shared by all VMs: a handler whose answer is lost may still run when
	// the client sends the job again.
	mu     *sync.Mutex
	centre string
	jobs   map[string]int
	others map[string]*jobVM
	// lost is the number of answers to jobs that are still to be lost.
	lost int
}

func (vm *jobVM) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if req.URL.Path == rest.PathStatus {
		answer(wri, http.StatusOK, rest.Status{Centre: vm.centre})
		return
	}
	var body rest.JobSubmit
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		panic(http.ErrAbortHandler)
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	home := vm
	if body.Centre != "" {
		home = vm.others[body.Centre]
	}
	home.jobs[body.ID]++
	if vm.lost > 0 {
		vm.lost--
		panic(http.ErrAbortHandler)
	}
	answer(wri, http.StatusOK, rest.JobAccepted{ID: body.ID, Centre: home.centre, Repeated: home.jobs[body.ID] > 1})
}

// Guards against duplicated work: the answer to a job is lost, and the job is
// sent again to a VM of another data centre.
func TestLostAnswerDoesNotDuplicateJob(t *testing.T) {
	vms := map[string]*jobVM{}
	var mu sync.Mutex
	var addresses []string
	for _, centre := range []string{"riga-a", "riga-b"} {
		vm := &jobVM{mu: &mu, centre: centre, jobs: map[string]int{}, others: vms}
		vms[centre] = vm
		srv := httptest.NewServer(vm)
		defer srv.Close()
		addresses = append(addresses, strings.TrimPrefix(srv.URL, "http://"))
	}
	vms["riga-a"].lost = 1
	cl := newClient(t, Config{Addresses: addresses})
	acc, err := cl.SubmitJob(context.Background(), rest.JobSubmit{ID: "j"})
	if err != nil || acc.Centre != "riga-a" || !acc.Repeated {
		t.Errorf("answer %+v, %v; want that of riga-a again", acc, err)
	}
	mu.Lock()
	defer mu.Unlock()
	if count := vms["riga-b"].jobs["j"]; count != 0 {
		t.Errorf("riga-b got the job %d times", count)
	}
}
