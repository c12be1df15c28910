package wire

import (
	"fmt"
	"runtime"
	"testing"

	"guavarail/core/fleet"
	"guavarail/core/model"
)

// benchFleet returns a state with 163 VMs and the given number of presets, each with
// quotas for 450 teams, after the given number of further changes that switch between
// the presets.
func benchFleet(b *testing.B, presets, changes int) *fleet.State {
	b.Helper()
	st := fleet.New()
	var vms []fleet.VM
	for i := range 163 {
		vms = append(vms, fleet.NewVM(fleet.VMSpec{
			Name: model.VMID(fmt.Sprintf("vm-%03d", i)), Centre: model.CentreID(fmt.Sprintf("dc-%02d", i%19)),
			PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i), APIAddress: fmt.Sprintf("10.0.0.%d:7001", i), Disk: i < 30,
		}))
	}
	apply := func(num int, act fleet.Action) {
		cmd := fleet.NewCommand(model.CommandID(fmt.Sprintf("%032d", num)), uint64(num), "operator", act)
		if err := st.Apply(cmd).Err(); err != nil {
			b.Fatal(err)
		}
	}
	apply(1, fleet.NewBootstrap(vms))
	var quotas []model.Quota
	for i := range 450 {
		quotas = append(quotas, model.NewQuota(model.TeamID(fmt.Sprintf("team-%03d", i)), model.NewResources(1_000_000, 4_000_000, 80), 1))
	}
	name := func(i int) string { return fmt.Sprintf("preset-%03d", i) }
	for i := range presets {
		pre, err := model.NewPreset(model.PresetSpec{Name: name(i), Quotas: append([]model.Quota(nil), quotas...)})
		if err != nil {
			b.Fatal(err)
		}
		apply(i+2, fleet.NewCreatePreset(pre, false))
	}
	for i := range changes {
		apply(presets+2+i, fleet.NewSwitchPreset(name(i%presets)))
	}
	return st
}

// BenchmarkFleetState measures the time to decode and restore a snapshot of the fleet
// state, the size of the snapshot and the growth of the heap. It does so for several
// numbers of presets, with 450 quotas each, after 15,000 changes (those of a day), and
// for several numbers of changes with one preset.
func BenchmarkFleetState(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		return float64(mem.HeapAlloc)
	}
	for _, siz := range []struct{ presets, changes int }{
		{1, 15_000}, {8, 15_000}, {64, 15_000}, {256, 15_000}, {1, 100}, {1, 1000}, {1, 4000}, {1, 45_000},
	} {
		b.Run(fmt.Sprintf("presets=%d/changes=%d", siz.presets, siz.changes), func(b *testing.B) {
			buf, err := FleetSnapshots{}.Encode(benchFleet(b, siz.presets, siz.changes).Snapshot())
			if err != nil {
				b.Fatal(err)
			}
			st, before := fleet.New(), heap()
			b.ResetTimer()
			for range b.N {
				sn, err := FleetSnapshots{}.Decode(buf)
				if err != nil {
					b.Fatal(err)
				}
				st.Restore(sn)
			}
			b.StopTimer()
			b.ReportMetric((heap()-before)/1e6, "heapMB")
			b.ReportMetric(float64(len(buf))/1e6, "snapshotMB")
			runtime.KeepAlive(st)
		})
	}
}
