package node

import (
	"fmt"
	"math"
	"net"
	"runtime"
	"sort"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/core/fleet"
	"guavarail/core/member"
	"guavarail/core/model"
	"guavarail/io/config"
)

// startVMs starts num VMs in this process, at most three per data centre, and
// waits until each of them has received the fleet state.
func startVMs(tb testing.TB, num int) []*Node {
	tb.Helper()
	var adrs []string
	var lis []net.Listener
	for range 3 * num {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		lis = append(lis, li)
		adrs = append(adrs, li.Addr().String())
	}
	for _, li := range lis {
		_ = li.Close()
	}
	var list strings.Builder
	name := func(i int) (vm, centre string) { return fmt.Sprintf("vm-%d", i), fmt.Sprintf("dc-%d", i/3) }
	for i := range num {
		vm, centre := name(i)
		fmt.Fprintf(&list, "[vms.%s]\ncentre = %s\npeer = %s\napi = %s\ncallers = %s\ndisk = yes\n", vm, centre, adrs[3*i], adrs[3*i+1], adrs[3*i+2])
	}
	var nods []*Node
	for i := range num {
		vm, centre := name(i)
		text := fmt.Sprintf("[vm]\nname = %s\ncentre = %s\nregion = bench\ndataDir = %s\n[listen]\npeers = %s\napi = %s\ncallers = %s\n",
			vm, centre, tb.TempDir(), adrs[3*i], adrs[3*i+1], adrs[3*i+2])
		set, err := config.Parse(vm+".ini", []byte(text+list.String()))
		if err != nil {
			tb.Fatal(err)
		}
		nod, stop, err := New(set, hclog.NewNullLogger())
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(stop)
		nods = append(nods, nod)
	}
	for _, nod := range nods {
		for nod.view.Load() == nil {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nods
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var use syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// BenchmarkIdleVM measures the cost of an idle VM. Bytes sent and received per
// second are the mean of all VMs and those of the VMs with the least ("quietest")
// and most ("busiest") traffic. CPU and memory are means only, because all VMs
// share this process.
func BenchmarkIdleVM(b *testing.B) {
	const idleTime = 10 * time.Second
	for _, num := range []int{3, 7, 15, 30, 60, 120} {
		b.Run(fmt.Sprintf("vms=%d", num), func(b *testing.B) {
			nods := startVMs(b, num)
			// The first probes of the failure detector carry the membership
			// updates of the start and so are larger; wait until these are sent.
			time.Sleep(3*time.Second + time.Duration(2*num)*member.DefaultPeriod)
			before, cpuBefore, start := readTraffic(nods), cpuTime(), time.Now()
			time.Sleep(idleTime)
			elapsed := time.Since(start).Seconds()
			reportTraffic(b, before, readTraffic(nods), elapsed)
			b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/elapsed/float64(num), "%core/VM")
			var mem runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&mem)
			b.ReportMetric(float64(mem.HeapInuse+mem.StackInuse)/float64(num)/1e6, "MB/VM")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// traffic is the number of bytes sent and received on the sockets of a VM.
type traffic struct{ sent, received int64 }

func readTraffic(nods []*Node) []traffic {
	var trs []traffic
	for _, nod := range nods {
		sent, received := nod.hub.Vars().SocketBytes()
		trs = append(trs, traffic{sent: sent, received: received})
	}
	return trs
}

// reportTraffic reports the mean traffic of the VMs and that of the VMs with the
// most and the least, in bytes per second; elapsed is in seconds. The mean hides
// the leader, whose traffic grows with the number of VMs; the VM with the least
// traffic leads no group.
func reportTraffic(b *testing.B, before, after []traffic, elapsed float64) {
	var sum, busiest traffic
	// Half the maximum, so that the sum of both does not overflow.
	quietest := traffic{sent: math.MaxInt64 / 2, received: math.MaxInt64 / 2}
	for i := range before {
		tra := traffic{sent: after[i].sent - before[i].sent, received: after[i].received - before[i].received}
		sum.sent += tra.sent
		sum.received += tra.received
		if tra.sent+tra.received > busiest.sent+busiest.received {
			busiest = tra
		}
		if tra.sent+tra.received < quietest.sent+quietest.received {
			quietest = tra
		}
	}
	num := float64(len(before))
	b.ReportMetric(float64(sum.sent)/elapsed/num, "meanSentB/s")
	b.ReportMetric(float64(sum.received)/elapsed/num, "meanReceivedB/s")
	b.ReportMetric(float64(quietest.sent)/elapsed, "quietestSentB/s")
	b.ReportMetric(float64(quietest.received)/elapsed, "quietestReceivedB/s")
	b.ReportMetric(float64(busiest.sent)/elapsed, "busiestSentB/s")
	b.ReportMetric(float64(busiest.received)/elapsed, "busiestReceivedB/s")
}

// BenchmarkSwitchInEffect measures the time from an operator's command that
// switches the preset until all VMs act on it.
func BenchmarkSwitchInEffect(b *testing.B) {
	const rounds = 40
	for _, num := range []int{3, 7, 15, 30} {
		b.Run(fmt.Sprintf("vms=%d", num), func(b *testing.B) {
			nods := startVMs(b, num)
			var durations []time.Duration
			for i := range rounds {
				durations = append(durations, measureSwitch(b, nods, uint64(i+2)))
			}
			sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
			b.ReportMetric(float64(durations[rounds/2].Milliseconds()), "ms-p50")
			b.ReportMetric(float64(durations[rounds-1].Milliseconds()), "ms-max")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// measureSwitch proposes one command, to each VM in turn until the fleet leader
// accepts it, and returns the time until all VMs have published its state. number is
// the configuration number; the bootstrap command has 1.
func measureSwitch(b *testing.B, nods []*Node, number uint64) time.Duration {
	start := time.Now()
	cmd := fleet.NewCommand(model.CommandID(fmt.Sprint("c", number)), number, "bench", fleet.NewSwitchPreset(fleet.DefaultPreset))
	for accepted := false; !accepted; {
		for _, nod := range nods {
			res, err := nod.fleet.Propose(b.Context(), cmd)
			if err == nil && res.Err() == nil {
				accepted = true
				break
			}
		}
	}
	for _, nod := range nods {
		for nod.view.Load().number < number {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}
