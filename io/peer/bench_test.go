package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/wrapperspb"

	"guavarail/core/member"
	"guavarail/core/model"
	"guavarail/io/host"
	"guavarail/io/wire"
)

// idleWindow is the time over which control traffic is counted.
const idleWindow = 10 * time.Second

// warmUp is the time for each VM until first contacts and their news are over:
// two rounds of probes.
const warmUp = 2 * member.DefaultPeriod

// beatEvery is the interval of the baseline: with heartbeats every second, a
// VM that missed two is found within 3 s.
const beatEvery = time.Second

// fleet starts linked hubs and waits until all links are up.
func fleet(b *testing.B, num int, muxes func(at int) *Mux) ([]*Hub, []model.VMID) {
	b.Helper()
	var hubs []*Hub
	var vms []model.VMID
	addrs := map[model.VMID]string{}
	for at := range num {
		vm := model.VMID(fmt.Sprintf("vm%02d", at))
		hub, stop, err := New(Config{Self: vm, Listen: "127.0.0.1:0", Mux: muxes(at), Seed: uint64(at)})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(stop)
		hubs, vms, addrs[vm] = append(hubs, hub), append(vms, vm), hub.Addr()
	}
	for _, hub := range hubs {
		hub.SetPeers(addrs)
	}
	for _, hub := range hubs {
		for end := time.Now().Add(time.Minute); hub.Vars().OpenLinks() < int64(num-1); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				b.Fatalf("%d links of %d", hub.Vars().OpenLinks(), num-1)
			}
		}
	}
	return hubs, vms
}

// count reports what the sockets of a VM sent a second, on average.
func count(b *testing.B, hubs []*Hub) {
	var before, after int64
	for _, hub := range hubs {
		sent, _ := hub.Vars().SocketBytes()
		before += sent
	}
	time.Sleep(idleWindow)
	for _, hub := range hubs {
		sent, _ := hub.Vars().SocketBytes()
		after += sent
	}
	b.ReportMetric(float64(after-before)/idleWindow.Seconds()/float64(len(hubs)), "sentBytes/s/vm")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdleTraffic measures the control traffic of an idle VM. Run it with
// -benchtime 1x.
func BenchmarkIdleTraffic(b *testing.B) {
	for _, num := range []int{3, 7, 15, 30, 60} {
		b.Run(fmt.Sprintf("member/%d", num), func(b *testing.B) {
			muxes := make([]Mux, num)
			hubs, vms := fleet(b, num, func(at int) *Mux { return &muxes[at] })
			for at, hub := range hubs {
				_, stop, err := StartDetector(DetectorConfig{
					System: hub.cfg.System, Sender: hub, Mux: &muxes[at],
					Member: member.Config{Self: vms[at], Peers: vms, Seed: uint64(at), Incarnation: uint64(time.Now().Unix())},
				})
				if err != nil {
					b.Fatal(err)
				}
				b.Cleanup(stop)
			}
			time.Sleep(warmUp * time.Duration(num))
			for range b.N {
				count(b, hubs)
			}
		})
		b.Run(fmt.Sprintf("heartbeats/%d", num), func(b *testing.B) {
			muxes := make([]Mux, num)
			for at := range muxes {
				Handle(&muxes[at], func(model.VMID, *wire.MemberMessage) {})
			}
			hubs, vms := fleet(b, num, func(at int) *Mux { return &muxes[at] })
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{}, num)
			for _, hub := range hubs {
				go beat(ctx, ended, hub, vms)
			}
			time.Sleep(warmUp * time.Duration(num))
			for range b.N {
				count(b, hubs)
			}
			cancel()
			for range num {
				<-ended
			}
		})
	}
}

// beat sends heartbeats to all VMs.
func beat(ctx context.Context, ended chan<- struct{}, hub *Hub, vms []model.VMID) {
	defer func() { ended <- struct{}{} }()
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		for _, vm := range vms {
			if vm != hub.cfg.Self {
				hub.Send(vm, &wire.MemberMessage{Seq: seq, Incarnation: uint64(time.Now().Unix())})
			}
		}
		host.Pause(ctx, beatEvery)
	}
}

// BenchmarkRequest measures a request and its answer over one link.
func BenchmarkRequest(b *testing.B) {
	mux := &Mux{}
	HandleRequest(mux, func(_ context.Context, _ model.VMID, que *wrapperspb.Int64Value) (*wrapperspb.Int64Value, error) {
		return que, nil
	})
	muxes := []*Mux{mux, {}}
	hubs, vms := fleet(b, 2, func(at int) *Mux { return muxes[at] })
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := hubs[1].Request(context.Background(), vms[0], wrapperspb.Int64(1)); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
