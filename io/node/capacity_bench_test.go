package node

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"guavarail/core/centre"
	"guavarail/core/model"
	"guavarail/core/sched"
	"guavarail/core/slots"
	"guavarail/io/rest"
)

// measureTime is the measurement period of the benchmarks of worker reports,
// announcements and slot credits.
const measureTime = 4 * time.Second

// waitForLeader waits for a VM that leads its data centre group under its
// lease, and returns it.
func waitForLeader(b *testing.B, nods []*Node) *Node {
	b.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, nod := range nods {
			if nod.ownCentre.leads(b.Context()) {
				return nod
			}
		}
	}
	b.Fatal("no leader within a minute")
	return nil
}

func benchWorker(i int) model.WorkerID { return model.WorkerID(fmt.Sprintf("worker-%05d", i)) }

// propose commits operations on the tasks of a data centre as one command, and
// fails the benchmark if one of them is not accepted.
func propose(b *testing.B, nod *Node, ops ...sched.Op) {
	b.Helper()
	res, err := nod.ownCentre.ref.Propose(b.Context(), centre.Tasks(sched.NewCommand(ops...)))
	if err != nil {
		b.Fatal(err)
	}
	for i := range ops {
		if ver := res.Tasks().Verdict(i); ver != sched.Accepted {
			b.Fatalf("operation %d: %s", i, ver)
		}
	}
}

// populate registers workers. Each one runs all tasks of a job of its own; there
// are no jobs if tasks is 0.
func populate(b *testing.B, nod *Node, workers, tasks int) {
	b.Helper()
	siz := model.NewResources(800, 3000, 0)
	for i := range workers {
		job := model.JobID(fmt.Sprintf("job-%05d", i))
		ops := []sched.Op{sched.RegisterWorker(benchWorker(i), fmt.Sprintf("rack-%d", i/8), model.NewResources(32000, 125000, 2))}
		if tasks > 0 {
			jo, err := sched.NewJob(sched.JobSpec{ID: job, Team: "kiln", Tasks: tasks, Size: siz})
			if err != nil {
				b.Fatal(err)
			}
			ops = append(ops, sched.Submit(jo))
		}
		for index := range tasks {
			tid := model.NewTaskID(job, index)
			ops = append(ops, sched.Start(tid, 1, benchWorker(i), siz, sched.Checkpoint{}, false), sched.Confirm(tid, 1, sched.Checkpoint{}))
		}
		propose(b, nod, ops...)
	}
}

// workerClient simulates a worker that polls the API of the leader over one
// connection.
type workerClient struct {
	address string
	report  rest.WorkerReport
	// polls is the number of answered polls, pollBytes the size of their requests
	// and of the response bodies, orders the number of orders received, and
	// unrenewed the number of answers with fewer leases than running tasks.
	polls, pollBytes, orders, unrenewed int
	// err is the error that ended the polls, if any.
	err error
}

// refusedError reports a response with a status other than 200.
type refusedError struct{ status, body string }

func (err *refusedError) Error() string { return "poll rejected: " + err.status + " " + err.body }

func newWorkerClient(address string, num, tasks int) *workerClient {
	cli := &workerClient{address: address, report: rest.WorkerReport{
		Worker: string(benchWorker(num)), Rack: fmt.Sprintf("rack-%d", num/8),
		Size: rest.NewResources(model.NewResources(32000, 125000, 2)),
	}}
	use := rest.NewResources(model.NewResources(700, 2900, 0))
	for index := range tasks {
		cli.report.Attempts = append(cli.report.Attempts, rest.Attempt{
			Task: fmt.Sprintf("job-%05d/%d", num, index), Attempt: 1, State: "running", Usage: &use, UsageAgeMs: 1000,
		})
	}
	return cli
}

// run polls once a second, starting at firstPoll, until the deadline or the first
// error, and then sends cli to done. The server delays its answer while it has no
// orders. The caller spreads the first polls of the workers over one second.
func (cli *workerClient) run(firstPoll, deadline time.Time, done chan<- *workerClient) {
	defer func() { done <- cli }()
	con, err := net.Dial("tcp", cli.address)
	if err != nil {
		cli.err = err
		return
	}
	defer con.Close()
	rdr := bufio.NewReader(con)
	for next := firstPoll; next.Before(deadline) && cli.err == nil; next = next.Add(time.Second) {
		time.Sleep(time.Until(next))
		cli.err = cli.poll(con, rdr)
	}
}

func (cli *workerClient) poll(con io.Writer, rdr *bufio.Reader) error {
	body, err := json.Marshal(cli.report)
	if err != nil {
		return err
	}
	var req bytes.Buffer
	fmt.Fprintf(&req, "POST /v1/workers/report HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", cli.address, len(body))
	req.Write(body)
	if _, err := con.Write(req.Bytes()); err != nil {
		return err
	}
	res, err := http.ReadResponse(rdr, nil)
	if err != nil {
		return err
	}
	got, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return &refusedError{status: res.Status, body: string(got)}
	}
	var ans rest.WorkerOrders
	if err := json.Unmarshal(got, &ans); err != nil {
		return err
	}
	cli.report.Tag = ans.Tag
	cli.polls++
	cli.pollBytes += req.Len() + len(got)
	cli.orders += len(ans.Orders)
	if len(ans.Leases) < len(cli.report.Attempts) {
		cli.unrenewed++
	}
	return nil
}

// BenchmarkWorkerReports measures the cost of polls from workers with running
// tasks at the leader of a data centre group with one voter. The CPU time
// includes the clients, since they run in the same process as the VM.
func BenchmarkWorkerReports(b *testing.B) {
	for _, load := range []struct{ workers, tasks int }{{50, 31}, {100, 31}, {200, 31}, {400, 31}, {900, 31}, {200, 0}, {200, 8}, {200, 16}} {
		workers, tasks := load.workers, load.tasks
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, tasks), func(b *testing.B) {
			nods := startVMs(b, 1)
			nod := waitForLeader(b, nods)
			populate(b, nod, workers, tasks)
			done := make(chan *workerClient, workers)
			cpuBefore, start := cpuTime(), time.Now()
			for i := range workers {
				firstPoll := start.Add(time.Second * time.Duration(i) / time.Duration(workers))
				go newWorkerClient(nod.settings.Listen().API().String(), i, tasks).run(firstPoll, start.Add(measureTime), done)
			}
			polls, pollBytes, orders, unrenewed, failed := 0, 0, 0, 0, 0
			for range workers {
				cli := <-done
				polls, pollBytes, orders, unrenewed = polls+cli.polls, pollBytes+cli.pollBytes, orders+cli.orders, unrenewed+cli.unrenewed
				if cli.err != nil {
					failed++
					b.Log(cli.err)
				}
			}
			elapsed, cpuUsed := time.Since(start), cpuTime()-cpuBefore
			b.ReportMetric(float64(polls)/elapsed.Seconds(), "polls/s")
			b.ReportMetric(float64(pollBytes)/float64(polls), "B/poll")
			b.ReportMetric(float64(cpuUsed.Microseconds())/float64(polls), "cpu-us/poll")
			b.ReportMetric(100*cpuUsed.Seconds()/elapsed.Seconds(), "%core")
			b.ReportMetric(float64(orders), "orders")
			b.ReportMetric(100*float64(unrenewed)/float64(polls), "%unrenewed")
			b.ReportMetric(float64(failed), "failed")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkAnnouncements measures the traffic between the three VMs of a data
// centre while each backend server sends an announcement every second to the VM
// that leads its group. The traffic includes the slot credits for their workers.
func BenchmarkAnnouncements(b *testing.B) {
	for _, servers := range []int{0, 50, 200, 800, 1600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			nods := startVMs(b, 3)
			nod := waitForLeader(b, nods)
			bac := &backends{nod: nod, pending: make(chan announcement, announceQueueSize)}
			announce(b, bac, servers, time.Now().Add(3*time.Second))
			before, cpuBefore, start := readTraffic(nods), cpuTime(), time.Now()
			announce(b, bac, servers, start.Add(measureTime))
			elapsed := time.Since(start)
			reportTraffic(b, before, readTraffic(nods), elapsed.Seconds())
			b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/elapsed.Seconds()/float64(len(nods)), "%core/VM")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// announce sends one announcement a second for each server until the deadline. It
// spreads the servers evenly over the broadcasts of a second.
func announce(b *testing.B, bac *backends, servers int, deadline time.Time) {
	b.Helper()
	const batchesPerSecond = int(time.Second / broadcastInterval)
	for batch := 0; time.Now().Before(deadline); batch++ {
		for i := batch % batchesPerSecond; i < servers; i += batchesPerSecond {
			err := bac.Announce(rest.BackendAnnounce{
				Backend: fmt.Sprintf("backend-%05d", i), Service: "orders", Worker: string(benchWorker(i)),
				Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250+1), Slots: 8, Connections: 60, Incarnation: 1,
			})
			if err != nil {
				b.Fatal(err)
			}
		}
		bac.broadcast(b.Context())
		time.Sleep(broadcastInterval)
	}
}

// BenchmarkSlotCredits measures the traffic between the three VMs of a data
// centre while each VM requests one slot of every worker once a second. No
// backend server is announced, so the routing state machine of each VM returns
// every credit immediately.
func BenchmarkSlotCredits(b *testing.B) {
	for _, workers := range []int{0, 50, 200, 800, 1600} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			nods := startVMs(b, 3)
			waitForLeader(b, nods)
			demandSlots(nods, workers, time.Now().Add(3*time.Second))
			before, cpuBefore, start := readTraffic(nods), cpuTime(), time.Now()
			demandSlots(nods, workers, start.Add(measureTime))
			elapsed := time.Since(start)
			reportTraffic(b, before, readTraffic(nods), elapsed.Seconds())
			b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/elapsed.Seconds()/float64(len(nods)), "%core/VM")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// demandSlots makes each VM request one slot of each worker once a second. Each
// worker has 8 slots, of which the VM uses none.
func demandSlots(nods []*Node, workers int, deadline time.Time) {
	for time.Now().Before(deadline) {
		for _, nod := range nods {
			for i := range workers {
				nod.slots.holder.Send(slots.NewUsage(benchWorker(i), 0, 8, 0, 1))
			}
		}
		time.Sleep(time.Second)
	}
}

// BenchmarkCentreStarts measures the rate at which a data centre group with three
// voters commits task starts and ends to disk. Like the planner, it proposes one
// command at a time. leaderSentB/start is that of the VM that sent the most bytes,
// which is the leader.
func BenchmarkCentreStarts(b *testing.B) {
	const commands = 40
	for _, starts := range []int{1, 8, 31, 128, 512} {
		b.Run(fmt.Sprintf("starts=%d", starts), func(b *testing.B) {
			nods := startVMs(b, 3)
			nod := waitForLeader(b, nods)
			populate(b, nod, 1, 0)
			siz := model.NewResources(1, 1, 0)
			jo, err := sched.NewJob(sched.JobSpec{ID: "starts", Team: "kiln", Tasks: starts * commands, Size: siz})
			if err != nil {
				b.Fatal(err)
			}
			propose(b, nod, sched.Submit(jo))
			before, cpuBefore, start := readTraffic(nods), cpuTime(), time.Now()
			for num := range commands {
				var starting, ending []sched.Op
				for index := range starts {
					tid := model.NewTaskID("starts", num*starts+index)
					starting = append(starting, sched.Start(tid, 1, benchWorker(0), siz, sched.Checkpoint{}, false))
					ending = append(ending, sched.Confirm(tid, 1, sched.Checkpoint{}), sched.End(tid, 1, benchWorker(0), sched.Succeeded))
				}
				propose(b, nod, starting...)
				propose(b, nod, ending...)
			}
			elapsed, after, total := time.Since(start), readTraffic(nods), float64(starts*commands)
			sent := 0.0
			for i := range before {
				sent = max(sent, float64(after[i].sent-before[i].sent))
			}
			b.ReportMetric(total/elapsed.Seconds(), "starts/s")
			b.ReportMetric(elapsed.Seconds()*1000/(2*commands), "ms/command")
			b.ReportMetric(sent/total, "leaderSentB/start")
			b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/total, "cpu-us/start")
			b.ReportMetric(0, "ns/op")
		})
	}
}
