package load

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/model"
	"guavarail/core/route"
	"guavarail/io/entry"
)

// seconds is the length of each measured run.
var seconds = flag.Duration("measure", 3*time.Second, "length of each run of the comparisons")

// fleet is a set of fake backend servers.
type fleet struct{ addrs []string }

func newFleet(b *testing.B, num int, han http.HandlerFunc) fleet {
	b.Helper()
	var fl fleet
	for range num {
		bak := httptest.NewServer(han)
		b.Cleanup(bak.Close)
		fl.addrs = append(fl.addrs, bak.Listener.Addr().String())
	}
	return fl
}

// entryVM returns the address of an entry VM in front of the fleet.
func (fl fleet) entryVM(b *testing.B, slots int, freeExpired bool) string {
	b.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	sys := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	srv, stop, err := entry.New(entry.Config{
		VM: "vm-1", Centre: "riga-a", Listener: lis, System: sys, Seed: 1, FreeExpired: freeExpired,
		Limits: entry.Limits{IdleBackendConnections: slots},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stop)
	srv.SetStaticShare(0, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go fl.announce(ctx, done, srv, slots)
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return "http://" + lis.Addr().String() + "/orders/quote"
}

func (fl fleet) announce(ctx context.Context, done chan<- struct{}, srv *entry.Server, slots int) {
	defer close(done)
	tck := time.NewTicker(time.Second)
	defer tck.Stop()
	for {
		for i, addr := range fl.addrs {
			srv.Announce(route.NewBackend(route.BackendSpec{
				ID: model.BackendID(fmt.Sprint("b-", i)), Worker: model.WorkerID(fmt.Sprint("w-", i)),
				Service: "orders", Address: addr, Slots: slots, Incarnation: 1,
			}), 0)
		}
		select {
		case <-ctx.Done():
			return
		case <-tck.C:
		}
	}
}

// plainProxy returns the address of a ReverseProxy that takes the servers in
// turn.
func (fl fleet) plainProxy(b *testing.B, idle int) string {
	b.Helper()
	var next atomic.Uint64
	pro := &httputil.ReverseProxy{
		Rewrite: func(pr *httputil.ProxyRequest) {
			addr := fl.addrs[next.Add(1)%uint64(len(fl.addrs))]
			pr.SetURL(&url.URL{Scheme: "http", Host: addr})
			pr.SetXForwarded()
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: idle, DisableCompression: true},
		ErrorLog:  log.New(io.Discard, "", 0),
	}
	srv := httptest.NewServer(pro)
	b.Cleanup(srv.Close)
	return srv.URL + "/orders/quote"
}

func drive(b *testing.B, op Options) Report {
	b.Helper()
	op.Duration, op.Method, op.Seed = *seconds, http.MethodGet, 1
	rep, err := Measure(context.Background(), op)
	if err != nil {
		b.Fatal(err)
	}
	return rep
}

// metric prints one row. It does not use b.Logf, which cuts long logs.
func metric(name string, rep Report) {
	fmt.Printf("%-28s %5d connections  %7.0f/s answered  %7.0f/s good  p50 %7.2f ms  p99 %7.2f ms  p99.9 %7.2f ms  %v\n",
		name, rep.Connections, rep.Throughput, rep.Goodput, rep.P50, rep.P99, rep.P999, rep.Outcomes)
}

// rounds is how often the two sides take turns; the medians are compared.
const rounds = 5

func median(reps []Report, of func(rep Report) float64) float64 {
	vals := make([]float64, 0, len(reps))
	for _, rep := range reps {
		vals = append(vals, of(rep))
	}
	slices.Sort(vals)
	return vals[len(vals)/2]
}

// BenchmarkAgainstReverseProxy measures one entry VM and a plain ReverseProxy on
// the same 50 backend servers in the same run: first as fast as responses
// arrive, then at a rate of 60% of what the slower one reached. The slots are
// wide enough that neither rejects. 6,000 connections run at half the rate of
// 600, because as many requests at once need more files than a process may open.
func BenchmarkAgainstReverseProxy(b *testing.B) {
	body := make([]byte, 1024)
	fl := newFleet(b, 50, func(wri http.ResponseWriter, _ *http.Request) { _, _ = wri.Write(body) })
	const slots = 16
	names := []string{"entry VM", "ReverseProxy"}
	urls := []string{fl.entryVM(b, slots, false), fl.plainProxy(b, slots)}
	rate := 0.0
	for _, cons := range []int{60, 600, 6000} {
		full, timed := [2][]Report{}, [2][]Report{}
		for range rounds {
			for i, url := range urls {
				if cons < 6000 {
					full[i] = append(full[i], drive(b, Options{URL: url, Connections: cons, Deadline: 10 * time.Second}))
				}
			}
		}
		if cons < 6000 {
			rate = 0.6 * min(median(full[0], answered), median(full[1], answered))
		} else {
			rate /= 2
		}
		for range rounds {
			for i, url := range urls {
				timed[i] = append(timed[i], drive(b, Options{URL: url, Connections: cons, Rate: rate, Deadline: 10 * time.Second}))
			}
		}
		for i, name := range names {
			if cons < 6000 {
				fmt.Printf("%-13s %5d connections  full %6.0f/s\n", name, cons, median(full[i], answered))
			}
			fmt.Printf("%-13s %5d connections  at %5.0f/s answered %6.0f/s p50 %6.2f ms p99 %6.2f ms p99.9 %6.2f ms  last %v\n",
				name, cons, rate, median(timed[i], answered),
				median(timed[i], func(rep Report) float64 { return rep.P50 }),
				median(timed[i], func(rep Report) float64 { return rep.P99 }),
				median(timed[i], func(rep Report) float64 { return rep.P999 }), timed[i][rounds-1].Outcomes)
		}
	}
}

func answered(rep Report) float64 { return rep.Throughput }

// BenchmarkOverload measures goodput at 3 times what 4 workers with 8 slots can
// serve at 10 ms a request, with a deadline of 100 ms.
func BenchmarkOverload(b *testing.B) {
	for _, proxied := range []bool{true, false} {
		var busy [4]chan struct{}
		fl := limitedFleet(b, busy[:], func(*http.Request) { time.Sleep(10 * time.Millisecond) })
		name, url := "entry VM", ""
		if proxied {
			url = fl.entryVM(b, 8, false)
		} else {
			name, url = "ReverseProxy", fl.plainProxy(b, 60)
		}
		for _, factor := range []float64{0.8, 3} {
			rep := drive(b, Options{URL: url, Connections: 2000, Rate: factor * 3200, Deadline: 100 * time.Millisecond, Callers: 10})
			metric(fmt.Sprintf("%s %.1fx", name, factor), rep)
		}
	}
}

// limitedFleet returns servers that run 8 requests at once and let others wait,
// as a worker with 8 slots does.
func limitedFleet(b *testing.B, busy []chan struct{}, work func(req *http.Request)) fleet {
	var fl fleet
	for i := range busy {
		places := make(chan struct{}, 8)
		busy[i] = places
		one := newFleet(b, 1, func(_ http.ResponseWriter, req *http.Request) {
			places <- struct{}{}
			work(req)
			<-places
		})
		fl.addrs = append(fl.addrs, one.addrs...)
	}
	return fl
}

// BenchmarkExpiredSlots compares both ways to treat the slot of an expired
// request, on 4 workers of which requests take 10 ms, but 1 in 20 takes 400 ms,
// with a deadline of 100 ms. Peak is the most requests that one worker had.
func BenchmarkExpiredSlots(b *testing.B) {
	for _, free := range []bool{false, true} {
		var now, peak [4]atomic.Int64
		var fl fleet
		for i := range now {
			var count atomic.Uint64
			one := newFleet(b, 1, func(http.ResponseWriter, *http.Request) {
				num := now[i].Add(1)
				for old := peak[i].Load(); num > old && !peak[i].CompareAndSwap(old, num); old = peak[i].Load() {
					continue
				}
				defer now[i].Add(-1)
				// A worker that runs more than its slots slows all of them down.
				slow := max(float64(num)/8, 1)
				took := 10 * time.Millisecond
				if count.Add(1)%20 == 0 {
					took = 400 * time.Millisecond
				}
				time.Sleep(time.Duration(slow * float64(took)))
			})
			fl.addrs = append(fl.addrs, one.addrs...)
		}
		name := "held until ended"
		if free {
			name = "freed at deadline"
		}
		url := fl.entryVM(b, 8, free)
		for _, rate := range []float64{500, 900, 1300} {
			rep := drive(b, Options{URL: url, Connections: 1000, Rate: rate, Deadline: 100 * time.Millisecond, Callers: 4})
			most := int64(0)
			for i := range peak {
				most = max(most, peak[i].Swap(0))
			}
			metric(fmt.Sprintf("%s %.0f/s peak %d", name, rate, most), rep)
		}
	}
}
