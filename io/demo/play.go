package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/io/client"
	"guavarail/io/fake/caller"
	"guavarail/io/rest"
)

const (
	// operator is the name in the demo's commands.
	operator = "demo"
	// inEffectBound is when a configuration must be in effect on all VMs.
	inEffectBound = 4 * time.Second
	// finishTime bounds the wait for the batch jobs after the last step.
	finishTime = 60 * time.Second
	// drainTime bounds the planned shutdown of a VM.
	drainTime = 35 * time.Second
)

// player carries out the steps of a trace.
type player struct {
	sit   *site
	cli   *client.Client
	tell  func(text string)
	start model.Instant
	// calls collects the results of the callers.
	calls chan []caller.Result
	// background counts the goroutines whose end is reported on ended.
	background int
	ended      chan struct{}
	// outs has when each data centre was out of service.
	outs []window
}

// window is a time in which a data centre was out of service.
type window struct {
	centre   string
	from, to model.Instant
}

func newPlayer(sit *site, tell func(text string)) (*player, func(), error) {
	var adrs []string
	for _, evm := range sit.vms {
		adrs = append(adrs, evm.api)
	}
	cli, stop, err := client.New(client.Config{Addresses: adrs})
	if err != nil {
		return nil, stop, err
	}
	return &player{
		sit: sit, cli: cli, tell: tell, start: sit.clock(),
		calls: make(chan []caller.Result, len(sit.scr.steps)), ended: make(chan struct{}, len(sit.scr.steps)),
	}, stop, nil
}

// play carries out all steps at their times and waits for what they started.
func (pla *player) play(ctx context.Context) error {
	for _, st := range pla.sit.scr.steps {
		if err := pla.cli.Wait(ctx, pla.start.Add(st.at()).Sub(pla.sit.clock())); err != nil {
			return err
		}
		if err := pla.step(ctx, st); err != nil {
			return errors.Annotatef(err, "step %s %s", st.Kind, st.Name)
		}
	}
	for ; pla.background > 0; pla.background-- {
		<-pla.ended
	}
	return pla.awaitTasks(ctx)
}

// inBackground runs something beside the steps.
func (pla *player) inBackground(run func()) {
	pla.background++
	go func() {
		run()
		pla.ended <- struct{}{}
	}()
}

func (pla *player) step(ctx context.Context, st step) error {
	switch st.Kind {
	case "preset":
		return pla.command(ctx, st, func(he rest.Header) error {
			_, err := pla.cli.CreatePreset(ctx, rest.PresetCreate{Header: he, Preset: pla.preset(st)})
			return err
		})
	case "switch":
		return pla.command(ctx, st, func(he rest.Header) error {
			_, err := pla.cli.SwitchPreset(ctx, st.Name, rest.PresetSwitch{Header: he})
			return err
		})
	case "centreOut", "centreIn":
		return pla.service(ctx, st)
	case "requests":
		pla.inBackground(func() { pla.calls <- pla.request(ctx, st) })
	case "job":
		return pla.job(ctx, st)
	case "leave":
		pla.inBackground(func() { pla.leave(ctx, st.Name) })
	case "restart":
		pla.inBackground(func() { pla.restart(ctx, st.Name) })
	}
	return nil
}

func (pla *player) preset(st step) rest.Preset {
	return rest.Preset{
		Name: st.Name, BatchSharePercent: st.BatchSharePercent, Forward: st.Forward, Drain: st.Drain,
		Services: []rest.ServicePolicy{{Service: pla.sit.scr.site.Service, TailTargetMs: st.TailTargetMs}},
	}
}

// command sends an operator command and checks that it is in effect on all VMs
// in time and that no VM goes back.
func (pla *player) command(ctx context.Context, st step, send func(he rest.Header) error) error {
	lis, err := pla.cli.Presets(ctx)
	if err != nil {
		return err
	}
	num := lis.InEffect.Number + 1
	he := rest.Header{Command: fmt.Sprintf("demo-%d", num), Number: num, Operator: operator}
	if err := send(he); err != nil {
		return err
	}
	pla.tell(fmt.Sprintf("%s %s is configuration %d", st.Kind, st.Name, num))
	accepted := pla.sit.clock()
	pla.inBackground(func() { pla.inEffect(ctx, num, accepted) })
	return nil
}

func (pla *player) inEffect(ctx context.Context, num uint64, accepted model.Instant) {
	bound := accepted.Add(inEffectBound)
	for _, evm := range pla.sit.vms {
		for evm.nod.Load().Configuration() < num {
			if !pla.sit.clock().Before(bound) {
				if evm.nod.Load().Ready() == "" {
					pla.sit.ora.violate("P10", fmt.Sprintf("configuration %d is not in effect on %s", num, evm.name))
				}
				break
			}
			if pla.cli.Wait(ctx, 10*time.Millisecond) != nil {
				return
			}
		}
	}
}

func (pla *player) service(ctx context.Context, st step) error {
	out := st.Kind == "centreOut"
	if !out {
		pla.sit.ora.service(st.Name, false, pla.sit.clock())
		for i := range pla.outs {
			if win := &pla.outs[i]; win.centre == st.Name && win.to == 0 {
				win.to = pla.sit.clock()
			}
		}
	}
	err := pla.command(ctx, st, func(he rest.Header) error {
		var err error
		if out {
			_, err = pla.cli.CentreOut(ctx, st.Name, rest.CentreCommand{Header: he})
		} else {
			_, err = pla.cli.CentreIn(ctx, st.Name, rest.CentreCommand{Header: he})
		}
		return err
	})
	if out && err == nil {
		pla.outs = append(pla.outs, window{centre: st.Name, from: pla.sit.clock()})
		pla.sit.ora.service(st.Name, true, pla.sit.clock())
	}
	return err
}

func (pla *player) request(ctx context.Context, st step) []caller.Result {
	var targets []string
	for _, evm := range pla.sit.vms {
		targets = append(targets, evm.callers)
	}
	return caller.Run(ctx, caller.Config{
		Name: st.Name, Targets: targets, Service: pla.sit.scr.site.Service,
		Count: int(st.PerSecond * float64(st.ForMs) / 1000), Rate: st.PerSecond, Seed: uint64(len(st.Name)),
		Ready: func(target string) bool { return pla.ready(target) },
		Request: func(num int) caller.Request {
			req := caller.Request{Work: time.Duration(st.WorkMs) * time.Millisecond, Size: 2000, NonIdempotent: st.NonIdempotent}
			if st.Keys {
				req.Key = fmt.Sprintf("%s-%d", st.Name, num)
			}
			return req
		},
	})
}

// ready is what the platform's load balancer learns from /readyz.
func (pla *player) ready(target string) bool {
	for _, evm := range pla.sit.vms {
		if evm.callers == target {
			return evm.nod.Load().Ready() == ""
		}
	}
	return false
}

func (pla *player) job(ctx context.Context, st step) error {
	_, err := pla.cli.SubmitJob(ctx, rest.JobSubmit{
		ID: st.Name, Team: operator, Tasks: st.Tasks, Centre: st.Centre,
		Size: rest.Resources{MilliCPU: 1000, MemoryMB: 512}, RunTimeMs: st.RunMs,
	})
	if err == nil {
		pla.tell(fmt.Sprintf("job %s with %d tasks was submitted to %s", st.Name, st.Tasks, st.Centre))
	}
	return err
}

// awaitTasks waits until all tasks are complete.
func (pla *player) awaitTasks(ctx context.Context) error {
	end := pla.sit.clock().Add(finishTime)
	for pla.sit.ora.finished() < pla.sit.scr.expect.TasksFinished && pla.sit.clock().Before(end) {
		if err := pla.cli.Wait(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}
