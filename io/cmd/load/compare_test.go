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

// runDuration is the length of each measured run of the benchmarks.
var runDuration = flag.Duration("measure", 3*time.Second, "length of each run of the comparisons")

// servers holds the addresses of fake backend servers.
type servers struct{ addrs []string }

func newServers(b *testing.B, num int, han http.HandlerFunc) servers {
	b.Helper()
	var svs servers
	for range num {
		bak := httptest.NewServer(han)
		b.Cleanup(bak.Close)
		svs.addrs = append(svs.addrs, bak.Listener.Addr().String())
	}
	return svs
}

// entryVM starts an entry VM, which accepts callers' requests and dispatches them to
// the servers. Each server has the given number of slots. It returns the URL to send
// to.
func (svs servers) entryVM(b *testing.B, slots int, freeExpired bool) string {
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
	go svs.announce(ctx, done, srv, slots)
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return "http://" + lis.Addr().String() + "/orders/quote"
}

// announce registers the servers with the entry VM each second until ctx ends.
func (svs servers) announce(ctx context.Context, done chan<- struct{}, srv *entry.Server, slots int) {
	defer close(done)
	tck := time.NewTicker(time.Second)
	defer tck.Stop()
	for {
		for i, addr := range svs.addrs {
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

// plainProxy starts a ReverseProxy that sends requests to the servers round robin and
// holds at most idle unused connections to each. It returns the URL to send to.
func (svs servers) plainProxy(b *testing.B, idle int) string {
	b.Helper()
	var next atomic.Uint64
	pro := &httputil.ReverseProxy{
		Rewrite: func(pr *httputil.ProxyRequest) {
			addr := svs.addrs[next.Add(1)%uint64(len(svs.addrs))]
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

// measure sends load for runDuration and returns the report.
func measure(b *testing.B, op Options) Report {
	b.Helper()
	op.Duration, op.Method, op.Seed = *runDuration, http.MethodGet, 1
	rep, err := Measure(context.Background(), op)
	if err != nil {
		b.Fatal(err)
	}
	return rep
}

// printReport prints one row. It does not use b.Logf, which truncates long logs.
func printReport(name string, rep Report) {
	fmt.Printf("%-28s %5d connections  %7.0f/s answered  %7.0f/s good  p50 %7.2f ms  p99 %7.2f ms  p99.9 %7.2f ms  %v\n",
		name, rep.Connections, rep.Throughput, rep.Goodput, rep.P50, rep.P99, rep.P999, rep.Outcomes)
}

// rounds is how often each of the two proxies is measured, alternately. The medians
// are compared.
const rounds = 5

// median returns the median of one metric of the reports.
func median(reps []Report, metric func(rep Report) float64) float64 {
	vals := make([]float64, 0, len(reps))
	for _, rep := range reps {
		vals = append(vals, metric(rep))
	}
	slices.Sort(vals)
	return vals[len(vals)/2]
}

// BenchmarkAgainstReverseProxy compares an entry VM with a plain ReverseProxy on
// the same 50 backend servers: first each connection sends as fast as responses
// arrive, then all together send at 60% of the throughput of the slower proxy. There
// are enough slots that neither proxy rejects requests. 6,000 connections run at half
// the rate of 600, because that many concurrent requests need more file
// descriptors than a process may open.
func BenchmarkAgainstReverseProxy(b *testing.B) {
	body := make([]byte, 1024)
	svs := newServers(b, 50, func(wri http.ResponseWriter, _ *http.Request) { _, _ = wri.Write(body) })
	const slots = 16
	names := []string{"entry VM", "ReverseProxy"}
	urls := []string{svs.entryVM(b, slots, false), svs.plainProxy(b, slots)}
	rate := 0.0
	for _, conns := range []int{60, 600, 6000} {
		full, fixedRate := [2][]Report{}, [2][]Report{}
		for range rounds {
			for i, url := range urls {
				if conns < 6000 {
					full[i] = append(full[i], measure(b, Options{URL: url, Connections: conns, Deadline: 10 * time.Second}))
				}
			}
		}
		if conns < 6000 {
			rate = 0.6 * min(median(full[0], throughput), median(full[1], throughput))
		} else {
			rate /= 2
		}
		for range rounds {
			for i, url := range urls {
				fixedRate[i] = append(fixedRate[i], measure(b, Options{URL: url, Connections: conns, Rate: rate, Deadline: 10 * time.Second}))
			}
		}
		for i, name := range names {
			if conns < 6000 {
				fmt.Printf("%-13s %5d connections  full %6.0f/s\n", name, conns, median(full[i], throughput))
			}
			fmt.Printf("%-13s %5d connections  at %5.0f/s answered %6.0f/s p50 %6.2f ms p99 %6.2f ms p99.9 %6.2f ms  last %v\n",
				name, conns, rate, median(fixedRate[i], throughput),
				median(fixedRate[i], func(rep Report) float64 { return rep.P50 }),
				median(fixedRate[i], func(rep Report) float64 { return rep.P99 }),
				median(fixedRate[i], func(rep Report) float64 { return rep.P999 }), fixedRate[i][rounds-1].Outcomes)
		}
	}
}

func throughput(rep Report) float64 { return rep.Throughput }

// BenchmarkOverload measures goodput at 3 times the capacity of 4 workers with 8
// slots each, which is 3200 requests/s at 10 ms a request, with a deadline of
// 100 ms.
func BenchmarkOverload(b *testing.B) {
	for _, throughEntryVM := range []bool{true, false} {
		var busy [4]chan struct{}
		svs := newLimitedServers(b, busy[:], func(*http.Request) { time.Sleep(10 * time.Millisecond) })
		name, url := "entry VM", ""
		if throughEntryVM {
			url = svs.entryVM(b, 8, false)
		} else {
			name, url = "ReverseProxy", svs.plainProxy(b, 60)
		}
		for _, factor := range []float64{0.8, 3} {
			rep := measure(b, Options{URL: url, Connections: 2000, Rate: factor * 3200, Deadline: 100 * time.Millisecond, Callers: 10})
			printReport(fmt.Sprintf("%s %.1fx", name, factor), rep)
		}
	}
}

// newLimitedServers returns servers that run 8 requests at once and queue the
// others, as a worker with 8 slots does. It stores the semaphore of each in busy.
func newLimitedServers(b *testing.B, busy []chan struct{}, work func(req *http.Request)) servers {
	var svs servers
	for i := range busy {
		slots := make(chan struct{}, 8)
		busy[i] = slots
		server := newServers(b, 1, func(_ http.ResponseWriter, req *http.Request) {
			slots <- struct{}{}
			work(req)
			<-slots
		})
		svs.addrs = append(svs.addrs, server.addrs...)
	}
	return svs
}

// BenchmarkExpiredSlots compares two policies for the slot of a request whose
// deadline has passed: it is released when the request ends, or at the deadline.
// Requests to the 4 workers take 10 ms, but 1 in 20 takes 400 ms, and have a
// deadline of 100 ms. The peak is the largest number of concurrent requests on one
// worker.
func BenchmarkExpiredSlots(b *testing.B) {
	for _, freeExpired := range []bool{false, true} {
		var running, peak [4]atomic.Int64
		var svs servers
		for i := range running {
			var count atomic.Uint64
			server := newServers(b, 1, func(http.ResponseWriter, *http.Request) {
				num := running[i].Add(1)
				for old := peak[i].Load(); num > old && !peak[i].CompareAndSwap(old, num); old = peak[i].Load() {
					continue
				}
				defer running[i].Add(-1)
				// A worker that runs more requests than it has slots slows all of them down.
				slowdown := max(float64(num)/8, 1)
				serviceTime := 10 * time.Millisecond
				if count.Add(1)%20 == 0 {
					serviceTime = 400 * time.Millisecond
				}
				time.Sleep(time.Duration(slowdown * float64(serviceTime)))
			})
			svs.addrs = append(svs.addrs, server.addrs...)
		}
		name := "held until ended"
		if freeExpired {
			name = "freed at deadline"
		}
		url := svs.entryVM(b, 8, freeExpired)
		for _, rate := range []float64{500, 900, 1300} {
			rep := measure(b, Options{URL: url, Connections: 1000, Rate: rate, Deadline: 100 * time.Millisecond, Callers: 4})
			highest := int64(0)
			for i := range peak {
				highest = max(highest, peak[i].Swap(0))
			}
			printReport(fmt.Sprintf("%s %.0f/s peak %d", name, rate, highest), rep)
		}
	}
}
