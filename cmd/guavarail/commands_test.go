package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/io/client"
	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
	"guavarail/io/term"
)

// fakeAPI is a fake of the API of an entry VM: it answers reads mostly with fixed
// responses, and applies operator commands to a fleet state, the configuration that
// operators change. It needs no lock, since a command line sends one request at a
// time.
type fakeAPI struct {
	state *fleet.State
	// loseResponses is the number of further operator commands that are applied
	// and whose responses are lost.
	loseResponses int
}

func newFakeAPI() *fakeAPI {
	api := &fakeAPI{state: fleet.New()}
	api.state.Apply(fleet.NewCommand("boot", 1, "system", fleet.NewBootstrap([]fleet.VM{
		fleet.NewVM(fleet.VMSpec{Name: "riga-a-1", Centre: "riga-a", PeerAddress: "10.0.0.1:7002", APIAddress: "10.0.0.1:7001", Disk: true}),
		fleet.NewVM(fleet.VMSpec{Name: "riga-b-1", Centre: "riga-b", PeerAddress: "10.0.0.2:7002", APIAddress: "10.0.0.2:7001", Disk: true}),
	})))
	return api
}

func (api *fakeAPI) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if body := api.read(req.URL.Path); req.Method == http.MethodGet && body != nil {
		_ = json.NewEncoder(wri).Encode(body)
		return
	}
	act, he := parseAction(req)
	if act == nil {
		wri.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(wri).Encode(rest.Failure{Error: rest.Error{Type: rest.TypeNotFound, Message: "nothing at " + req.URL.Path}})
		return
	}
	res := api.state.Apply(he.NewCommand(act))
	if api.loseResponses > 0 {
		api.loseResponses--
		panic(http.ErrAbortHandler)
	}
	if rej := res.Rejection(); rej != nil {
		wri.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(wri).Encode(rest.NewRejected(rej))
		return
	}
	ch, _ := res.Change()
	_ = json.NewEncoder(wri).Encode(rest.NewCommandAccepted(ch))
}

// read returns the response to a read, or nil if nothing is at path.
func (api *fakeAPI) read(path string) any {
	now := rest.InEffect{Number: api.state.Number(), Preset: api.state.ActivePresetName()}
	switch path {
	case rest.PathPresets:
		list := rest.PresetList{InEffect: now}
		for _, en := range api.state.Presets() {
			list.Presets = append(list.Presets, rest.NewPreset(en, now.Preset))
		}
		return list
	case rest.PathVMs:
		list := rest.VMList{InEffect: now}
		for _, vm := range api.state.VMs() {
			list.VMs = append(list.VMs, rest.NewVM(vm))
		}
		return list
	case rest.PathCentres:
		return rest.CentreList{InEffect: now, Centres: []rest.Centre{{Name: "riga-a", Service: rest.ServiceIn, AdmitPercent: 100}}}
	case rest.PathWorkers:
		return rest.WorkerList{Workers: []rest.Worker{{Name: "w1", State: "quarantined", Reason: "fails", QuarantineMs: 60000}}, Unreachable: []string{"riga-b"}}
	case rest.PathJobs:
		return rest.JobList{Jobs: []rest.Job{{ID: "j1", State: "waiting", Team: "a", Counts: rest.Counts{Waiting: 2}}, {ID: "j2", State: "running"}}}
	case rest.PathStatus:
		return rest.Status{VM: "riga-a-1", Centre: "riga-a", Ready: true, InEffect: now, Problems: []rest.Problem{{Kind: "vmUnreachable", Detail: "riga-b-1", Advice: "replace it"}}}
	}
	return nil
}

// parseAction returns the operator command in a request, or nil if there is none.
func parseAction(req *http.Request) (fleet.Action, rest.Header) {
	parts := strings.Split(strings.TrimPrefix(req.URL.Path, "/v1/"), "/")
	var body struct {
		rest.Header
		Preset rest.Preset `json:"preset"`
		Force  bool        `json:"force"`
		VM     rest.VM     `json:"vm"`
	}
	if json.NewDecoder(req.Body).Decode(&body) != nil {
		return nil, body.Header
	}
	switch {
	case req.URL.Path == rest.PathPresets:
		pre, err := body.Preset.Model()
		if err != nil {
			return nil, body.Header
		}
		return fleet.NewCreatePreset(pre, false), body.Header
	case strings.HasSuffix(req.URL.Path, "/switch"):
		return fleet.NewSwitchPreset(parts[1]), body.Header
	case strings.HasSuffix(req.URL.Path, "/out"):
		return fleet.NewCentreOut(model.CentreID(parts[1]), body.Force), body.Header
	case strings.HasSuffix(req.URL.Path, "/in"):
		return fleet.NewCentreIn(model.CentreID(parts[1])), body.Header
	case strings.HasSuffix(req.URL.Path, "/replace"):
		return fleet.NewReplaceVM(model.VMID(parts[1]), body.VM.Fleet()), body.Header
	}
	return nil, body.Header
}

// run runs one command line against the API at address, with input as the standard
// input. It returns the standard output, the standard error and the exit code.
func run(t *testing.T, address, input, line string) (string, string, int) {
	t.Helper()
	var out, err bytes.Buffer
	env := shell.Env{
		Streams: term.New(strings.NewReader(input), &out, &err, false),
		Getenv: func(key string) string {
			return map[string]string{"GUAVARAIL_API": address, "USER": "ilze"}[key]
		},
		Now:   func() time.Time { return time.Unix(0, 0) },
		NewID: func() string { return "id1" },
		Connect: func(cfg client.Config) (*client.Client, func(), error) {
			cfg.Rounds, cfg.Wait = 1, func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
			return client.New(cfg)
		},
	}
	code := shell.Main(context.Background(), env, strings.Fields(line), commands())
	return out.String(), err.String(), code
}

// Guards against a wrong exit code, output in a changed format, and an error without
// advice on what to do next.
func TestCommandLines(t *testing.T) {
	for line, tc := range map[string]struct {
		input string
		code  int
		out   string
		err   string
	}{
		"":                                     {"", 2, "", "no command is given\nnext: run guavarail --help"},
		"preset":                               {"", 2, "", "use one of: preset list, preset show, preset create, preset switch"},
		"fly away":                             {"", 2, "", "command fly is not known"},
		"preset list --nope":                   {"", 2, "", "next: run guavarail preset list --help"},
		"preset --help":                        {"", 0, "preset switch  Make a preset", ""},
		"centre out --help":                    {"", 0, "Example:\n  guavarail centre out riga-b", ""},
		"preset list":                          {"", 0, "default\tyes\t10s\t60%\tfinish\tno\t-\n", ""},
		"preset show peak":                     {"", 3, "", "nothing at /v1/presets/peak\nnext: list what exists"},
		"preset switch default":                {"", 0, "switchPreset default is configuration 2; preset default is in effect\n", ""},
		"preset switch default --number 1":     {"", 3, "", "(command boot); configuration 1 with preset default is in effect\nnext: look at the configuration in effect and send"},
		"preset switch default --command x":    {"", 2, "", "give --number as in the first send"},
		"preset switch peak":                   {"", 3, "", "unknownPreset"},
		"preset create peak --file -":          {`{"batchSharePercent":20}`, 0, "createPreset peak is configuration 2", ""},
		"preset create night --file -":         {`{"bachShare":20}`, 1, "", "next: correct the file"},
		"centre list":                          {"", 0, "riga-a\tin\t100%\tno\t-\t0\t0\t0\t-\n", ""},
		"centre out riga-b --json":             {"", 0, `{"change":{"command":"id1","number":2,"operator":"ilze","kind":"centreOut","target":"riga-b","preset":"default"}}`, ""},
		"centre in riga-x":                     {"", 3, "", "unknownCentre"},
		"job list --state waiting":             {"", 0, "j1\ta\t\t\twaiting\t2\t0\t0\t0\t2\t-\n", ""},
		"job submit":                           {"", 2, "", "TEAM is required\nnext: run guavarail job submit --help"},
		"job show nothing":                     {"", 3, "", "next: list what exists"},
		"worker list":                          {"", 0, "fails, probation in 1m0s", "workers are missing: riga-b"},
		"vm list":                              {"", 0, "riga-a-1\triga-a\t-\tvoter\t-\tyes\t10.0.0.1:7001\t10.0.0.1:7002\tsystem (configuration 1)\n", ""},
		"vm replace riga-a-1":                  {"", 0, "replaceVM riga-a-1 is configuration 2", ""},
		"vm replace riga-z-1":                  {"", 2, "", "VM riga-z-1 is not known"},
		"status":                               {"", 0, "configuration 1\nproblem vmUnreachable: riga-b-1; replace it\n", ""},
		"status --api localhost":               {"", 2, "", "is not an IP address and port"},
		"status --api 127.0.0.1:1":             {"", 4, "", "next: check --api"},
		"status --api x --settings y":          {"", 2, "", "exclude each other"},
		"settings check /nonexistent/file.ini": {"", 1, "", "give the path of a readable INI file"},
		"timeline --limit 0":                   {"", 2, "", "use 1 to 100000"},
	} {
		t.Run(line, func(t *testing.T) {
			srv := httptest.NewServer(newFakeAPI())
			defer srv.Close()
			out, err, code := run(t, strings.TrimPrefix(srv.URL, "http://"), tc.input, line)
			if code != tc.code || !strings.Contains(out, tc.out) || !strings.Contains(err, tc.err) {
				t.Errorf("exit %d\nout: %s\nerr: %s\nwant exit %d, out with %q, err with %q", code, out, err, tc.code, tc.out, tc.err)
			}
			if code != 0 && !strings.Contains(err, "\nnext: ") {
				t.Errorf("failure without advice: %s", err)
			}
		})
	}
}

// Guards against an operator command that is applied twice because its response was
// lost (F10): the error must show how to resend the command with the same id and
// number, and the resend must return the response to the first send.
func TestLostAnswerNamesTheResend(t *testing.T) {
	api := newFakeAPI()
	api.loseResponses = 1
	srv := httptest.NewServer(api)
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	_, err, code := run(t, address, "", "centre out riga-b")
	const advice = `--command id1 --number 2 --operator "ilze"`
	if code != shell.ExitUnreachable || !strings.Contains(err, advice) {
		t.Fatalf("exit %d, %s; want the advice %s", code, err, advice)
	}
	out, err, code := run(t, address, "", "centre out riga-b --command id1 --number 2 --operator ilze")
	if code != 0 || !strings.Contains(out, "centreOut riga-b is configuration 2") || api.state.Number() != 2 {
		t.Errorf("exit %d, %s%s; want the response to the first send", code, out, err)
	}
}

// Guards against a settings check that stops at the first error (the bad file lacks a
// key and has an unknown one) or doesn't show defaults.
func TestSettingsCheck(t *testing.T) {
	dir := t.TempDir()
	good := "[vm]\nname = a\ncentre = c\nregion = r\n[listen]\ncallers = 127.0.0.1:1\napi = 127.0.0.1:2\npeers = 127.0.0.1:3\n" +
		"[vms.a]\ncentre = c\npeer = 127.0.0.1:3\napi = 127.0.0.1:2\n"
	for name, tc := range map[string]struct {
		text, want string
		code       int
	}{
		"good": {good, "limits\tdrainSeconds\t35\tdefault\n", 0},
		"bad":  {strings.Replace(good, "region = r", "regoin = R", 1), "vm.regoin: key is not known", 1},
	} {
		file := filepath.Join(dir, name+".ini")
		if err := os.WriteFile(file, []byte(tc.text), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err, code := run(t, "", "", "settings check "+file)
		if code != tc.code || !strings.Contains(out+err, tc.want) {
			t.Errorf("%s: exit %d\n%s%s\nwant exit %d and %q", name, code, out, err, tc.code, tc.want)
		}
	}
}
