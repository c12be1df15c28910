package client

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"guavarail/core/fleet"
	"guavarail/io/rest"
)

// fakeVMs serves preset switches of one fleet state on several addresses.
type fakeVMs struct {
	state *fleet.State
	// lose returns whether the next request is lost before it is carried out, and
	// whether its answer is lost afterwards.
	lose func() (request, answer bool)
	// token is a mutex: only the handler that has received its one element uses the
	// other fields.
	token chan struct{}
	// applied counts the commands that changed the state.
	applied int
}

func newFakeVMs(t *testing.T, count int, lose func() (bool, bool)) (*fakeVMs, []string) {
	t.Helper()
	vms := &fakeVMs{state: fleet.New(), lose: lose, token: make(chan struct{}, 1)}
	vms.token <- struct{}{}
	var addresses []string
	for range count {
		srv := httptest.NewServer(vms)
		t.Cleanup(srv.Close)
		addresses = append(addresses, strings.TrimPrefix(srv.URL, "http://"))
	}
	return vms, addresses
}

func (vms *fakeVMs) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	var body rest.PresetSwitch
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		panic(http.ErrAbortHandler)
	}
	<-vms.token
	defer func() { vms.token <- struct{}{} }()
	loseRequest, loseAnswer := vms.lose()
	if loseRequest {
		panic(http.ErrAbortHandler)
	}
	before := vms.state.Number()
	name := strings.Split(req.URL.Path, "/")[3]
	res := vms.state.Apply(body.NewCommand(fleet.NewSwitchPreset(name)))
	if vms.state.Number() > before {
		vms.applied++
	}
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	if rej := res.Rejection(); rej != nil {
		answer(wri, http.StatusConflict, rest.NewRejected(rej))
		return
	}
	ch, _ := res.Change()
	answer(wri, http.StatusOK, rest.NewCommandAccepted(ch))
}

func answer(wri http.ResponseWriter, status int, body any) {
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(body)
}

func noWait(ctx context.Context, _ time.Duration) error { return ctx.Err() }

func newClient(t *testing.T, cfg Config) *Client {
	t.Helper()
	if cfg.Wait == nil {
		cfg.Wait = noWait
	}
	cl, stop, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return cl
}

func switchBody(id string, number uint64) rest.PresetSwitch {
	return rest.PresetSwitch{Header: rest.Header{Command: id, Number: number, Operator: "ilze"}}
}

// Guards against a command that is carried out twice, or answered with the change
// of another one, when requests and answers are lost at random. A command that is
// sent again with the same ID and number must take effect once (P10).
func TestLostAnswersDoNotRepeatCommands(t *testing.T) {
	rnd := rand.New(rand.NewSource(7))
	vms, addresses := newFakeVMs(t, 3, func() (bool, bool) { return rnd.Intn(4) == 0, rnd.Intn(2) == 0 })
	cl := newClient(t, Config{Addresses: addresses, Rounds: 20})
	const commands = 50
	for i := uint64(1); i <= commands; i++ {
		id := "c" + strconv.FormatUint(i, 10)
		done, err := cl.SwitchPreset(context.Background(), "default", switchBody(id, i))
		if err != nil || done.Change.Command != id || done.Change.Number != i {
			t.Fatalf("command %s answered %+v, %v", id, done, err)
		}
	}
	if vms.applied != commands {
		t.Errorf("%d commands were carried out, want %d", vms.applied, commands)
	}
}

// Guards against a rejection that the client answers with a retry: of two commands
// with the same number, the second one is rejected, and the error names the first.
func TestRejectionIsFinal(t *testing.T) {
	_, addresses := newFakeVMs(t, 2, func() (bool, bool) { return false, false })
	cl := newClient(t, Config{Addresses: addresses})
	if _, err := cl.SwitchPreset(context.Background(), "default", switchBody("first", 1)); err != nil {
		t.Fatal(err)
	}
	_, err := cl.SwitchPreset(context.Background(), "default", switchBody("second", 1))
	var ape *APIError
	if !errors.As(err, &ape) || !ape.Rejected() || ape.Type() != "numberTaken" {
		t.Fatalf("error %v, want numberTaken", err)
	}
	if body := ape.Body(); body.Holder == nil || body.Holder.Command != "first" || body.InEffect.Number != 1 {
		t.Errorf("rejection %+v does not name the command that has the number", body)
	}
}

// Guards against a call that fails because one address cannot be reached, and
// against trying that address first in every call.
func TestNextAddressIsTried(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := lis.Addr().String()
	_ = lis.Close()
	_, addresses := newFakeVMs(t, 1, func() (bool, bool) { return false, false })
	cl := newClient(t, Config{Addresses: []string{closed, addresses[0]}, Rounds: 1})
	for i := uint64(1); i <= 2; i++ {
		if _, err := cl.SwitchPreset(context.Background(), "default", switchBody(strconv.FormatUint(i, 10), i)); err != nil {
			t.Fatal(err)
		}
	}
	if cl.next != 1 {
		t.Errorf("the client starts at address %d, want the one that answered", cl.next)
	}
}

// Guards against reporting a command as failed that may have been carried out, and
// as possibly carried out when it was never sent.
func TestUnknownOutcomeIsReported(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := lis.Addr().String()
	_ = lis.Close()
	_, lossy := newFakeVMs(t, 1, func() (bool, bool) { return false, true })
	for name, tc := range map[string]struct {
		addresses []string
		maybeDone bool
	}{
		"never sent":  {[]string{closed}, false},
		"answer lost": {[]string{lossy[0], closed}, true},
	} {
		t.Run(name, func(t *testing.T) {
			cl := newClient(t, Config{Addresses: tc.addresses, Rounds: 2})
			_, err := cl.SwitchPreset(context.Background(), "default", switchBody("c", 1))
			var une *UnreachableError
			if !errors.As(err, &une) || une.MaybeDone() != tc.maybeDone {
				t.Errorf("error %v, want UnreachableError with MaybeDone %v", err, tc.maybeDone)
			}
		})
	}
}

// Guards against trying further addresses after the caller's context has ended.
func TestCancelledCallEnds(t *testing.T) {
	_, addresses := newFakeVMs(t, 1, func() (bool, bool) { return true, true })
	ctx, cancel := context.WithCancel(context.Background())
	cl := newClient(t, Config{Addresses: addresses, Rounds: 1 << 30, Wait: func(ctx context.Context, _ time.Duration) error {
		cancel()
		return ctx.Err()
	}})
	if _, err := cl.SwitchPreset(ctx, "default", switchBody("c", 1)); err == nil {
		t.Error("a cancelled call succeeded")
	}
}
