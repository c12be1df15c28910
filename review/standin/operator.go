package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"time"
)

// route is a queue of a configuration.
type route struct {
	Name            string  `json:"name"`
	Hostname        string  `json:"hostname"`
	PathPrefix      string  `json:"pathPrefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       int     `json:"timeoutMs"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	ServiceName     string  `json:"serviceName"`
	MaxAttempts     int64   `json:"maxAttempts"`
	LatencyFactor   float64 `json:"latencyFactor"`
}

// service is a service of a configuration.
type service struct {
	Name            string  `json:"name"`
	HealthPath      string  `json:"healthPath"`
	MaxConnections  int     `json:"maxConnections"`
	Protocol        string  `json:"protocol"`
	TLS             bool    `json:"tls"`
	ColdStartS      float64 `json:"coldStartS"`
	ColdPerS        float64 `json:"coldPerS"`
	RejectsOverload bool    `json:"rejectsOverload"`
	Standby         bool    `json:"standby"`
}

// configuration is a complete configuration.
type configuration struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

const (
	serviceName = "huvo11a"
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
)

// newConfiguration returns a configuration with one queue, like the example of the pages.
func newConfiguration(version int) configuration {
	return configuration{
		Version: version,
		Routes: []route{{
			Name: "r-3hwrr6x", Hostname: queueHost, PathPrefix: queuePrefix, Kind: "unsafe", TimeoutMs: 3000, TargetLatencyMs: 1200,
			ServiceName: serviceName, MaxAttempts: 3, LatencyFactor: 1.5,
		}},
		Services: []service{{Name: serviceName, HealthPath: "/health", MaxConnections: 64, Protocol: "h1", RejectsOverload: true}},
		Limits:   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// operator sends orders to the control VMs. An order without a clear answer is sent again
// to another one.
type operator struct {
	clu *cluster
	rnd *rand.Rand
}

// order sends an order until it is acknowledged, refused or limit has passed. It returns
// the status of the last answer, 0 without one.
func (opr *operator) order(method, path string, body []byte, limit time.Duration) int {
	end := time.Now().Add(limit)
	first := opr.rnd.Intn(len(opr.clu.controls))
	status := 0
	for try := 0; time.Now().Before(end); try++ {
		node := opr.clu.controls[(first+try)%len(opr.clu.controls)]
		status, _ = opr.once(node, method, path, body)
		if status >= 200 && status < 300 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			return status
		}
		time.Sleep(min(time.Duration(try+1)*100*time.Millisecond, time.Second))
	}
	return status
}

// once sends an order to one control VM.
func (opr *operator) once(node *vm, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+opr.clu.apiAddr(node)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	rsp, err := shortClient.Do(req)
	if err != nil {
		opr.clu.rec.printf("operator: %s %s at %s: no answer (%v)", method, path, node.name, err)
		return 0, nil
	}
	defer rsp.Body.Close()
	data, _ := io.ReadAll(rsp.Body)
	opr.clu.rec.printf("operator: %s %s at %s: %d", method, path, node.name, rsp.StatusCode)
	return rsp.StatusCode, data
}

// configure sends a configuration.
func (opr *operator) configure(cfg configuration, limit time.Duration) int {
	body, _ := json.Marshal(cfg)
	opr.clu.rec.printf("operator: configuration %d: %.400s", cfg.Version, body)
	return opr.order(http.MethodPost, "/Config.Replace", body, limit)
}

// readVersion reads the version of the configuration at any control VM. It returns 0 if no
// answer came within limit.
func (opr *operator) readVersion(limit time.Duration) int {
	end := time.Now().Add(limit)
	for try := 0; time.Now().Before(end); try++ {
		node := opr.clu.controls[try%len(opr.clu.controls)]
		status, data := opr.once(node, http.MethodGet, "/Config.Read", nil)
		var cfg configuration
		if status == http.StatusOK && json.Unmarshal(data, &cfg) == nil {
			return cfg.Version
		}
		time.Sleep(300 * time.Millisecond)
	}
	return 0
}

// client submits jobs and asks for their state.
type client struct {
	clu *cluster
	rnd *rand.Rand
}

// newID returns an ID of a job: 16 hexadecimal digits.
func (cli *client) newID() string { return fmt.Sprintf("%016x", cli.rnd.Uint64()) }

// call sends one request to an entry VM. The status is 0 if no response came.
func (cli *client) call(method, id string, body any) (int, []byte) {
	node := cli.clu.entries[cli.rnd.Intn(len(cli.clu.entries))]
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+cli.clu.frontAddr(node)+queuePrefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Guavarail-Deadline-Ms", "3000")
	hc := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rsp, err := hc.Do(req)
	if err != nil {
		cli.clu.rec.printf("client: %s %s at %s: no answer (%v)", method, id, node.name, err)
		return 0, nil
	}
	defer rsp.Body.Close()
	out, _ := io.ReadAll(rsp.Body)
	cli.clu.rec.printf("client: %s %s at %s: %d %s", method, id, node.name, rsp.StatusCode, out)
	return rsp.StatusCode, out
}

// step is a step of a job.
type step struct {
	Count       int  `json:"count"`
	CPU         int  `json:"cpu"`
	MemoryMb    int  `json:"memoryLimitMb"`
	EstimatedMs int  `json:"estimatedMs,omitempty"`
	LongRunning bool `json:"longRunning,omitempty"`
	// AntiAffinity bounds the tasks of the step on one worker.
	AntiAffinity int `json:"antiAffinity,omitempty"`
}

// job is a submitted job. The stand-in workers take the duration of a task, in
// milliseconds, from its taskSpec.
type job struct {
	TaskSpec string `json:"taskSpec"`
	Steps    []step `json:"steps"`
}

// submit hands a job in until it is accepted, refused for good or limit has passed.
func (cli *client) submit(id string, jo job, limit time.Duration) int {
	end := time.Now().Add(limit)
	status := 0
	for time.Now().Before(end) {
		status, _ = cli.call(http.MethodPost, id, jo)
		if status >= 200 && status < 300 || status == 404 || status == 400 {
			return status
		}
		time.Sleep(500 * time.Millisecond)
	}
	return status
}

// state returns the state of a job: that in the answer, "410", or "" without an answer
// within limit.
func (cli *client) state(id string, limit time.Duration) string {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		status, out := cli.call(http.MethodGet, id, nil)
		var msg struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(out, &msg) == nil {
			return msg.State
		}
		if status == http.StatusGone {
			return "410"
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

// awaitState asks for the state of a job until it is want or limit has passed, and returns
// the last state.
func (cli *client) awaitState(id, want string, limit time.Duration) string {
	end := time.Now().Add(limit)
	last := ""
	for time.Now().Before(end) {
		if last = cli.state(id, 2*time.Second); last == want {
			return last
		}
		time.Sleep(300 * time.Millisecond)
	}
	return last
}
