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

// jobVM is the only VM of its data centre. It accepts jobs and counts how often each
// is submitted. It forwards jobs for other data centres.
type jobVM struct {
	// mu is shared by all VMs: a handler whose answer is lost may still run when
	// the client sends the job again.
	mu     *sync.Mutex
	centre string
	// jobs has the number of submissions of each job.
	jobs       map[string]int
	vmOfCentre map[string]*jobVM
	// answersToLose is how many of the next answers to submissions are lost.
	answersToLose int
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
	target := vm
	if body.Centre != "" {
		target = vm.vmOfCentre[body.Centre]
	}
	target.jobs[body.ID]++
	if vm.answersToLose > 0 {
		vm.answersToLose--
		panic(http.ErrAbortHandler)
	}
	answer(wri, http.StatusOK, rest.JobAccepted{ID: body.ID, Centre: target.centre, Repeated: target.jobs[body.ID] > 1})
}

// Guards against a job that runs in two data centres: the answer to its submission
// is lost, and the client sends it again to a VM of another data centre.
func TestLostAnswerDoesNotDuplicateJob(t *testing.T) {
	vms := map[string]*jobVM{}
	var mu sync.Mutex
	var addresses []string
	for _, centre := range []string{"riga-a", "riga-b"} {
		vm := &jobVM{mu: &mu, centre: centre, jobs: map[string]int{}, vmOfCentre: vms}
		vms[centre] = vm
		srv := httptest.NewServer(vm)
		defer srv.Close()
		addresses = append(addresses, strings.TrimPrefix(srv.URL, "http://"))
	}
	vms["riga-a"].answersToLose = 1
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
