package demo

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/io/config"
	"guavarail/io/fake/worker"
	"guavarail/io/host"
	"guavarail/io/node"
	"guavarail/io/rest"
)

const (
	workerMilliCPU = 4000
	workerMemoryMB = 8192
	workerSlots    = 8
	workerConns    = 60
	// startTime bounds the start of the fleet; an election takes 4 s at most.
	startTime = 30 * time.Second
)

// entryVM is one entry VM of the demo.
type entryVM struct {
	name, centre       string
	callers, api, peer string
	set                config.Settings
	// nod is replaced when the VM is restarted.
	nod  atomic.Pointer[node.Node]
	stop func()
}

// site is the whole fleet of one user.
type site struct {
	scr     script
	dir     string
	log     hclog.Logger
	clock   host.Clock
	sys     *actor.ActorSystem
	vms     []*entryVM
	workers map[string]*worker.Worker
	ora     *oracle
	// stops are the clean-up functions, in the order of the starts.
	stops []func()
}

// newSite starts the fleet. The clean-up function ends it and removes its data.
func newSite(scr script, log hclog.Logger) (*site, func(), error) {
	sit := &site{scr: scr, log: log, clock: host.NewClock(), workers: map[string]*worker.Worker{}, ora: newOracle()}
	dir, err := os.MkdirTemp("", "guavarail-demo-")
	if err != nil {
		return nil, func() {}, errors.Trace(err)
	}
	sit.dir = dir
	sit.stops = append(sit.stops, func() { _ = os.RemoveAll(dir) })
	sys, stopSys := host.NewSystem(log)
	sit.sys = sys
	sit.stops = append(sit.stops, stopSys)
	for _, start := range []func() error{sit.startVMs, sit.startWorkers} {
		if err := start(); err != nil {
			sit.close()
			return nil, func() {}, err
		}
	}
	return sit, sit.close, nil
}

func (sit *site) close() {
	for i := len(sit.stops) - 1; i >= 0; i-- {
		sit.stops[i]()
	}
	sit.stops = nil
}

func (sit *site) startVMs() error {
	for _, cen := range sit.scr.site.Centres {
		adrs, err := freeAddresses(3)
		if err != nil {
			return err
		}
		sit.vms = append(sit.vms, &entryVM{name: cen + "-1", centre: cen, callers: adrs[0], api: adrs[1], peer: adrs[2]})
	}
	for _, evm := range sit.vms {
		set, err := config.Parse(evm.name+".ini", sit.settings(evm))
		if err != nil {
			return err
		}
		evm.set = set
		if err := sit.startVM(evm); err != nil {
			return err
		}
		sit.stops = append(sit.stops, func() { evm.stop() })
	}
	return sit.awaitReady()
}

func (sit *site) startVM(evm *entryVM) error {
	nod, stop, err := node.New(evm.set, sit.log.Named(evm.name))
	if err != nil {
		return err
	}
	evm.stop = stop
	evm.nod.Store(nod)
	return nil
}

func (sit *site) awaitReady() error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, evm := range sit.vms {
			if evm.nod.Load().Ready() == "" {
				ready++
			}
		}
		if ready == len(sit.vms) {
			return nil
		}
	}
	return &OutcomeError{failed: []string{"the entry VMs were not ready within " + startTime.String()}}
}

func (sit *site) settings(evm *entryVM) []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "[vm]\nname = %s\ncentre = %s\nregion = %s\ndataDir = %s\n", evm.name, evm.centre, sit.scr.site.Region, filepath.Join(sit.dir, evm.name))
	fmt.Fprintf(&buf, "[listen]\ncallers = %s\napi = %s\npeers = %s\n", evm.callers, evm.api, evm.peer)
	for _, one := range sit.vms {
		fmt.Fprintf(&buf, "[vms.%s]\ncentre = %s\npeer = %s\napi = %s\ncallers = %s\ndisk = yes\n", one.name, one.centre, one.peer, one.api, one.callers)
	}
	return buf.Bytes()
}

func (sit *site) startWorkers() error {
	for _, evm := range sit.vms {
		for i := range sit.scr.site.WorkersPerCentre {
			name := fmt.Sprintf("w-%s-%d", evm.centre, i)
			wor, stop, err := worker.New(worker.Config{
				System: sit.sys, Name: name, Rack: "rack-" + evm.centre, Clock: sit.clock,
				Size:      model.NewResources(workerMilliCPU, workerMemoryMB, 0),
				Addresses: []string{evm.api}, Service: sit.scr.site.Service, Listen: "127.0.0.1:0",
				Slots: workerSlots, Connections: workerConns, OnAttemptEvent: sit.ora.note(evm.centre),
				Workload: worker.Workload{RunTime: sit.runTime}, Log: sit.log,
			})
			if err != nil {
				return err
			}
			sit.workers[name] = wor
			sit.stops = append(sit.stops, stop)
		}
	}
	return nil
}

// runTime returns the recorded run time of a task.
func (sit *site) runTime(ord rest.Order) time.Duration {
	for _, st := range sit.scr.steps {
		if st.Kind == "job" && st.Name == ord.JobKind {
			return time.Duration(st.RunMs) * time.Millisecond
		}
	}
	return time.Second
}

// vm returns the entry VM with the given name.
func (sit *site) vm(name string) *entryVM {
	for _, evm := range sit.vms {
		if evm.name == name {
			return evm
		}
	}
	return nil
}

// freeAddresses returns loopback addresses that nobody listens on.
func freeAddresses(num int) ([]string, error) {
	var out []string
	for range num {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer func() { _ = lis.Close() }()
		out = append(out, lis.Addr().String())
	}
	return out, nil
}
