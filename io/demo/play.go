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
	// operator is the operator in the demo's operator commands, and the team of
	// its jobs.
	operator = "demo"
	// inEffectTimeout is the time within which an accepted configuration must be
	// in effect on all entry VMs that are ready (P10).
	inEffectTimeout = 4 * time.Second
	// finishTimeout limits the wait for the batch tasks once all steps and their
	// goroutines have ended.
	finishTimeout = 60 * time.Second
	// drainTimeout limits the planned shutdown of an entry VM.
	drainTimeout = 35 * time.Second
)

// player carries out the steps of a trace on a cluster. The goroutine that calls
// play owns background and outages; the other fields don't change.
type player struct {
	clu *cluster
	cli *client.Client
	// progress receives lines about the steps, from several goroutines.
	progress func(text string)
	// startedAt is the time of the cluster's clock at which the trace started.
	startedAt model.Instant
	// results receives the results of the callers, one slice for each step of
	// kind requests.
	results chan []caller.Result
	// background is the number of goroutines that play still has to wait for.
	// Each sends to ended when it ends.
	background int
	ended      chan struct{}
	// outages has the periods in which data centres were out of service, in the
	// order of their starts.
	outages []outage
}

// outage is a period in which a data centre was out of service by an operator
// command; to is 0 while it lasts.
type outage struct {
	centre   string
	from, to model.Instant
}

func newPlayer(clu *cluster, progress func(text string)) (*player, func(), error) {
	var adrs []string
	for _, evm := range clu.vms {
		adrs = append(adrs, evm.api)
	}
	cli, stop, err := client.New(client.Config{Addresses: adrs})
	if err != nil {
		return nil, stop, err
	}
	return &player{
		clu: clu, cli: cli, progress: progress, startedAt: clu.clock(),
		results: make(chan []caller.Result, len(clu.trc.steps)), ended: make(chan struct{}, len(clu.trc.steps)),
	}, stop, nil
}

// play carries out each step at its time. It then waits for the goroutines that the
// steps started, and for the batch tasks.
func (pla *player) play(ctx context.Context) error {
	for _, st := range pla.clu.trc.steps {
		if err := pla.cli.Wait(ctx, pla.startedAt.Add(st.at()).Sub(pla.clu.clock())); err != nil {
			return err
		}
		if err := pla.runStep(ctx, st); err != nil {
			return errors.Annotatef(err, "step %s %s", st.Kind, st.Name)
		}
	}
	for ; pla.background > 0; pla.background-- {
		<-pla.ended
	}
	return pla.awaitTasks(ctx)
}

// inBackground runs run on a goroutine that play waits for.
func (pla *player) inBackground(run func()) {
	pla.background++
	go func() {
		run()
		pla.ended <- struct{}{}
	}()
}

// runStep carries out a step, or starts a goroutine that does. Steps of unknown kinds
// are ignored.
func (pla *player) runStep(ctx context.Context, st step) error {
	switch st.Kind {
	case "preset":
		return pla.sendCommand(ctx, st, func(he rest.Header) error {
			_, err := pla.cli.CreatePreset(ctx, rest.PresetCreate{Header: he, Preset: pla.preset(st)})
			return err
		})
	case "switch":
		return pla.sendCommand(ctx, st, func(he rest.Header) error {
			_, err := pla.cli.SwitchPreset(ctx, st.Name, rest.PresetSwitch{Header: he})
			return err
		})
	case "centreOut", "centreIn":
		return pla.setCentreService(ctx, st)
	case "requests":
		pla.inBackground(func() { pla.results <- pla.sendRequests(ctx, st) })
	case "job":
		return pla.submitJob(ctx, st)
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
		Services: []rest.ServicePolicy{{Service: pla.clu.trc.site.Service, TailTargetMs: st.TailTargetMs}},
	}
}

// sendCommand sends an operator command with the next configuration number, and
// checks in the background that this configuration is in effect on all VMs within
// inEffectTimeout. send sends the command with the given header.
func (pla *player) sendCommand(ctx context.Context, st step, send func(he rest.Header) error) error {
	lis, err := pla.cli.Presets(ctx)
	if err != nil {
		return err
	}
	num := lis.InEffect.Number + 1
	he := rest.Header{Command: fmt.Sprintf("demo-%d", num), Number: num, Operator: operator}
	if err := send(he); err != nil {
		return err
	}
	pla.progress(fmt.Sprintf("%s %s is configuration %d", st.Kind, st.Name, num))
	accepted := pla.clu.clock()
	pla.inBackground(func() { pla.checkInEffect(ctx, num, accepted) })
	return nil
}

// checkInEffect waits until configuration num is in effect on all VMs. It records a
// violation of P10 for each ready VM on which it is not in effect inEffectTimeout
// after accepted.
func (pla *player) checkInEffect(ctx context.Context, num uint64, accepted model.Instant) {
	deadline := accepted.Add(inEffectTimeout)
	for _, evm := range pla.clu.vms {
		for evm.nod.Load().Configuration() < num {
			if !pla.clu.clock().Before(deadline) {
				if evm.nod.Load().NotReadyReason() == "" {
					pla.clu.ora.addViolation("P10", fmt.Sprintf("configuration %d is not in effect on %s", num, evm.name))
				}
				break
			}
			if pla.cli.Wait(ctx, 10*time.Millisecond) != nil {
				return
			}
		}
	}
}

// setCentreService takes a data centre out of service, or back into service, and
// records the outage. The oracle is updated after the command centreOut is accepted,
// and before centreIn is sent, so that it reports no start that is allowed.
func (pla *player) setCentreService(ctx context.Context, st step) error {
	out := st.Kind == "centreOut"
	if !out {
		pla.clu.ora.setOutOfService(st.Name, false, pla.clu.clock())
		for i := range pla.outages {
			if og := &pla.outages[i]; og.centre == st.Name && og.to == 0 {
				og.to = pla.clu.clock()
			}
		}
	}
	err := pla.sendCommand(ctx, st, func(he rest.Header) error {
		var err error
		if out {
			_, err = pla.cli.CentreOut(ctx, st.Name, rest.CentreCommand{Header: he})
		} else {
			_, err = pla.cli.CentreIn(ctx, st.Name, rest.CentreCommand{Header: he})
		}
		return err
	})
	if out && err == nil {
		pla.outages = append(pla.outages, outage{centre: st.Name, from: pla.clu.clock()})
		pla.clu.ora.setOutOfService(st.Name, true, pla.clu.clock())
	}
	return err
}

// sendRequests sends the requests of a step to the entry VMs in turn and returns
// their results.
func (pla *player) sendRequests(ctx context.Context, st step) []caller.Result {
	var targets []string
	for _, evm := range pla.clu.vms {
		targets = append(targets, evm.callers)
	}
	return caller.Run(ctx, caller.Config{
		Name: st.Name, Targets: targets, Service: pla.clu.trc.site.Service,
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

// ready reports whether the entry VM that listens for callers on target accepts
// requests. The platform's load balancer finds that out from /readyz.
func (pla *player) ready(target string) bool {
	for _, evm := range pla.clu.vms {
		if evm.callers == target {
			return evm.nod.Load().NotReadyReason() == ""
		}
	}
	return false
}

func (pla *player) submitJob(ctx context.Context, st step) error {
	_, err := pla.cli.SubmitJob(ctx, rest.JobSubmit{
		ID: st.Name, Team: operator, Tasks: st.Tasks, Centre: st.Centre,
		Size: rest.Resources{MilliCPU: 1000, MemoryMB: 512}, RunTimeMs: st.RunMs,
	})
	if err == nil {
		pla.progress(fmt.Sprintf("job %s with %d tasks was submitted to %s", st.Name, st.Tasks, st.Centre))
	}
	return err
}

// awaitTasks waits until the expected number of tasks has completed, for at most
// finishTimeout. Tasks that are missing then are no error here: the report has their
// number.
func (pla *player) awaitTasks(ctx context.Context) error {
	end := pla.clu.clock().Add(finishTimeout)
	for pla.clu.ora.completedTasks() < pla.clu.trc.expect.TasksFinished && pla.clu.clock().Before(end) {
		if err := pla.cli.Wait(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}
