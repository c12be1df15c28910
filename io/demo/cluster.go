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
	// workerSlots is the number of requests that a backend server may run at the
	// same time.
	workerSlots = 8
	// workerConns is the number of connections that a backend server accepts.
	workerConns = 60
	// startTimeout limits the time until all entry VMs are ready; an election
	// takes at most 4 s of it.
	startTimeout = 30 * time.Second
)

// entryVM is one entry VM of the demo. callers, api and peer are the addresses that
// it listens on.
type entryVM struct {
	name, centre       string
	callers, api, peer string
	settings           config.Settings
	// nod is the running VM and stop stops it. Both are replaced when the VM is
	// restarted.
	nod  atomic.Pointer[node.Node]
	stop func()
}

// cluster is one user's system: entry VMs, and workers with backend servers.
type cluster struct {
	trc trace
	// dir contains the data directories of the entry VMs.
	dir string
	log hclog.Logger
	// clock is shared by all workers, so that the oracle can compare the times of
	// their events.
	clock host.Clock
	sys   *actor.ActorSystem
	vms   []*entryVM
	// workers maps each name to its worker.
	workers map[string]*worker.Worker
	ora     *oracle
	// stops are the clean-up functions, in the order of the starts. They are
	// called in reverse order.
	stops []func()
}

// newCluster starts the cluster. The clean-up function stops it and removes its
// data.
func newCluster(trc trace, log hclog.Logger) (*cluster, func(), error) {
	clu := &cluster{trc: trc, log: log, clock: host.NewClock(), workers: map[string]*worker.Worker{}, ora: newOracle()}
	dir, err := os.MkdirTemp("", "guavarail-demo-")
	if err != nil {
		return nil, func() {}, errors.Trace(err)
	}
	clu.dir = dir
	clu.stops = append(clu.stops, func() { _ = os.RemoveAll(dir) })
	sys, stopSys := host.NewSystem(log)
	clu.sys = sys
	clu.stops = append(clu.stops, stopSys)
	for _, start := range []func() error{clu.startEntryVMs, clu.startWorkers} {
		if err := start(); err != nil {
			clu.close()
			return nil, func() {}, err
		}
	}
	return clu, clu.close, nil
}

func (clu *cluster) close() {
	for i := len(clu.stops) - 1; i >= 0; i-- {
		clu.stops[i]()
	}
	clu.stops = nil
}

func (clu *cluster) startEntryVMs() error {
	for _, cen := range clu.trc.site.Centres {
		adrs, err := freeAddresses(3)
		if err != nil {
			return err
		}
		clu.vms = append(clu.vms, &entryVM{name: cen + "-1", centre: cen, callers: adrs[0], api: adrs[1], peer: adrs[2]})
	}
	for _, evm := range clu.vms {
		set, err := config.Parse(evm.name+".ini", clu.settings(evm))
		if err != nil {
			return err
		}
		evm.settings = set
		if err := clu.startEntryVM(evm); err != nil {
			return err
		}
		clu.stops = append(clu.stops, func() { evm.stop() })
	}
	return clu.awaitReady()
}

func (clu *cluster) startEntryVM(evm *entryVM) error {
	nod, stop, err := node.New(evm.settings, clu.log.Named(evm.name))
	if err != nil {
		return err
	}
	evm.stop = stop
	evm.nod.Store(nod)
	return nil
}

// awaitReady waits until all entry VMs are ready at the same time, for at most
// startTimeout. Node.Ready returns why a VM isn't ready, or "" if it is.
func (clu *cluster) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, evm := range clu.vms {
			if evm.nod.Load().NotReadyReason() == "" {
				ready++
			}
		}
		if ready == len(clu.vms) {
			return nil
		}
	}
	return &OutcomeError{failed: []string{"the entry VMs were not ready within " + startTimeout.String()}}
}

// settings returns the content of the settings file of an entry VM.
func (clu *cluster) settings(evm *entryVM) []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "[vm]\nname = %s\ncentre = %s\nregion = %s\ndataDir = %s\n", evm.name, evm.centre, clu.trc.site.Region, filepath.Join(clu.dir, evm.name))
	fmt.Fprintf(&buf, "[listen]\ncallers = %s\napi = %s\npeers = %s\n", evm.callers, evm.api, evm.peer)
	for _, oth := range clu.vms {
		fmt.Fprintf(&buf, "[vms.%s]\ncentre = %s\npeer = %s\napi = %s\ncallers = %s\ndisk = yes\n", oth.name, oth.centre, oth.peer, oth.api, oth.callers)
	}
	return buf.Bytes()
}

func (clu *cluster) startWorkers() error {
	for _, evm := range clu.vms {
		for i := range clu.trc.site.WorkersPerCentre {
			name := fmt.Sprintf("w-%s-%d", evm.centre, i)
			wor, stop, err := worker.New(worker.Config{
				System: clu.sys, Name: name, Rack: "rack-" + evm.centre, Clock: clu.clock,
				Size:      model.NewResources(workerMilliCPU, workerMemoryMB, 0),
				Addresses: []string{evm.api}, Service: clu.trc.site.Service, Listen: "127.0.0.1:0",
				Slots: workerSlots, Connections: workerConns, OnAttemptEvent: clu.ora.observer(evm.centre),
				Workload: worker.Workload{RunTime: clu.runTime}, Log: clu.log,
			})
			if err != nil {
				return err
			}
			clu.workers[name] = wor
			clu.stops = append(clu.stops, stop)
		}
	}
	return nil
}

// runTime returns the run time of a task, from the trace step of its job; 1 s if
// there is no such step.
func (clu *cluster) runTime(ord rest.Order) time.Duration {
	for _, st := range clu.trc.steps {
		if st.Kind == "job" && st.Name == ord.JobKind {
			return time.Duration(st.RunMs) * time.Millisecond
		}
	}
	return time.Second
}

// entryVM returns the entry VM with the given name, or nil if there is none.
func (clu *cluster) entryVM(name string) *entryVM {
	for _, evm := range clu.vms {
		if evm.name == name {
			return evm
		}
	}
	return nil
}

// freeAddresses returns num different loopback addresses with ports that are not in
// use. The ports are not reserved.
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
