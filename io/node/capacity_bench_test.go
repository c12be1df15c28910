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

// loadWatch is how long a benchmark of this file counts.
const loadWatch = 4 * time.Second

// waitLeased returns the VM that leads the group of the first data centre.
func waitLeased(b *testing.B, nods []*Node) *Node {
	b.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, nod := range nods {
			if nod.own.leads(b.Context()) {
				return nod
			}
		}
	}
	b.Fatal("no leader within a minute")
	return nil
}

func benchWorker(i int) model.WorkerID { return model.WorkerID(fmt.Sprintf("worker-%05d", i)) }

func propose(b *testing.B, nod *Node, ops ...sched.Op) {
	b.Helper()
	res, err := nod.own.ref.Propose(b.Context(), centre.Tasks(sched.NewCommand(ops...)))
	if err != nil {
		b.Fatal(err)
	}
	for i := range ops {
		if ver := res.Tasks().Verdict(i); ver != sched.Accepted {
			b.Fatalf("operation %d: %s", i, ver)
		}
	}
}

// populate records workers, each with running tasks of a job of its own.
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
		for at := range tasks {
			tid := model.NewTaskID(job, at)
			ops = append(ops, sched.Start(tid, 1, benchWorker(i), siz, sched.Checkpoint{}, false), sched.Confirm(tid, 1, sched.Checkpoint{}))
		}
		propose(b, nod, ops...)
	}
}

// reporter is a worker that polls the leader's API on one connection.
type reporter struct {
	address string
	report  rest.WorkerReport
	// bytes and orders count what the polls moved and what they were told;
	// unrenewed counts the answers that renewed no lease.
	polls, bytes, orders, unrenewed int
	err                             error
}

// refusedError is an answer with another status than 200.
type refusedError struct{ status, body string }

func (err *refusedError) Error() string { return "poll refused: " + err.status + " " + err.body }

func newReporter(address string, num, tasks int) *reporter {
	rep := &reporter{address: address, report: rest.WorkerReport{
		Worker: string(benchWorker(num)), Rack: fmt.Sprintf("rack-%d", num/8),
		Size: rest.NewResources(model.NewResources(32000, 125000, 2)),
	}}
	use := rest.NewResources(model.NewResources(700, 2900, 0))
	for at := range tasks {
		rep.report.Attempts = append(rep.report.Attempts, rest.Attempt{
			Task: fmt.Sprintf("job-%05d/%d", num, at), Attempt: 1, State: "running", Usage: &use, UsageAgeMs: 1000,
		})
	}
	return rep
}

// run polls once a second until the deadline; a poll is held while there are no
// orders. The first polls of the workers are spread over a second.
func (rep *reporter) run(first, until time.Time, done chan<- *reporter) {
	defer func() { done <- rep }()
	con, err := net.Dial("tcp", rep.address)
	if err != nil {
		rep.err = err
		return
	}
	defer con.Close()
	red := bufio.NewReader(con)
	for next := first; next.Before(until) && rep.err == nil; next = next.Add(time.Second) {
		time.Sleep(time.Until(next))
		rep.err = rep.poll(con, red)
	}
}

func (rep *reporter) poll(con io.Writer, red *bufio.Reader) error {
	body, err := json.Marshal(rep.report)
	if err != nil {
		return err
	}
	var que bytes.Buffer
	fmt.Fprintf(&que, "POST /v1/workers/report HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", rep.address, len(body))
	que.Write(body)
	if _, err := con.Write(que.Bytes()); err != nil {
		return err
	}
	res, err := http.ReadResponse(red, nil)
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
	rep.report.Tag = ans.Tag
	rep.polls++
	rep.bytes += que.Len() + len(got)
	rep.orders += len(ans.Orders)
	if len(ans.Leases) < len(rep.report.Attempts) {
		rep.unrenewed++
	}
	return nil
}

// BenchmarkWorkerReports gives what the polls of workers with running tasks
// cost the leader of a data centre group with one voter. The processor time
// covers the VM and the clients, which share this process.
func BenchmarkWorkerReports(b *testing.B) {
	for _, siz := range []struct{ workers, tasks int }{{50, 31}, {100, 31}, {200, 31}, {400, 31}, {900, 31}, {200, 0}, {200, 8}, {200, 16}} {
		workers, tasks := siz.workers, siz.tasks
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, tasks), func(b *testing.B) {
			nods := startVMs(b, 1)
			nod := waitLeased(b, nods)
			populate(b, nod, workers, tasks)
			done := make(chan *reporter, workers)
			cpu, start := cpuTime(), time.Now()
			for i := range workers {
				first := start.Add(time.Second * time.Duration(i) / time.Duration(workers))
				go newReporter(nod.set.Listen().API().String(), i, tasks).run(first, start.Add(loadWatch), done)
			}
			polls, bytes, orders, unrenewed, failed := 0, 0, 0, 0, 0
			for range workers {
				rep := <-done
				polls, bytes, orders, unrenewed = polls+rep.polls, bytes+rep.bytes, orders+rep.orders, unrenewed+rep.unrenewed
				if rep.err != nil {
					failed++
					b.Log(rep.err)
				}
			}
			elapsed, used := time.Since(start), cpuTime()-cpu
			b.ReportMetric(float64(polls)/elapsed.Seconds(), "polls/s")
			b.ReportMetric(float64(bytes)/float64(polls), "B/poll")
			b.ReportMetric(float64(used.Microseconds())/float64(polls), "cpu-us/poll")
			b.ReportMetric(100*used.Seconds()/elapsed.Seconds(), "%core")
			b.ReportMetric(float64(orders), "orders")
			b.ReportMetric(100*float64(unrenewed)/float64(polls), "%unrenewed")
			b.ReportMetric(float64(failed), "failed")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkAnnouncements gives the traffic between the three VMs of a data
// centre while backend servers announce every second to the VM that leads its
// group, with the slot credits of their workers.
func BenchmarkAnnouncements(b *testing.B) {
	for _, servers := range []int{0, 50, 200, 800, 1600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			nods := startVMs(b, 3)
			nod := waitLeased(b, nods)
			bac := &backends{nod: nod, fresh: make(chan announced, announceRoom)}
			announce(b, bac, servers, time.Now().Add(3*time.Second))
			from, cpu, start := readTraffic(nods), cpuTime(), time.Now()
			announce(b, bac, servers, start.Add(loadWatch))
			elapsed := time.Since(start)
			reportTraffic(b, from, readTraffic(nods), elapsed.Seconds())
			b.ReportMetric(100*(cpuTime()-cpu).Seconds()/elapsed.Seconds()/float64(len(nods)), "%core/VM")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// announce spreads the announcements of a second over it, until the deadline.
func announce(b *testing.B, bac *backends, servers int, until time.Time) {
	b.Helper()
	const parts = int(time.Second / spreadEvery)
	for part := 0; time.Now().Before(until); part++ {
		for i := part % parts; i < servers; i += parts {
			err := bac.Announce(rest.BackendAnnounce{
				Backend: fmt.Sprintf("backend-%05d", i), Service: "orders", Worker: string(benchWorker(i)),
				Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250+1), Slots: 8, Connections: 60, Incarnation: 1,
			})
			if err != nil {
				b.Fatal(err)
			}
		}
		bac.spread(b.Context())
		time.Sleep(spreadEvery)
	}
}

// BenchmarkSlotCredits gives the traffic between the three VMs of a data centre
// while a demand of each VM for one slot of every worker comes and goes once a
// second. No backend server is announced, so the routing machine of a VM gives
// each credit back at once.
func BenchmarkSlotCredits(b *testing.B) {
	for _, workers := range []int{0, 50, 200, 800, 1600} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			nods := startVMs(b, 3)
			waitLeased(b, nods)
			want(nods, workers, time.Now().Add(3*time.Second))
			from, cpu, start := readTraffic(nods), cpuTime(), time.Now()
			want(nods, workers, start.Add(loadWatch))
			elapsed := time.Since(start)
			reportTraffic(b, from, readTraffic(nods), elapsed.Seconds())
			b.ReportMetric(100*(cpuTime()-cpu).Seconds()/elapsed.Seconds()/float64(len(nods)), "%core/VM")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// want gives each VM a demand for one slot of each worker, once a second.
func want(nods []*Node, workers int, until time.Time) {
	for time.Now().Before(until) {
		for _, nod := range nods {
			for i := range workers {
				nod.slots.holder.Send(slots.NewUsage(benchWorker(i), 0, 8, 0, 1))
			}
		}
		time.Sleep(time.Second)
	}
}

// BenchmarkCentreStarts gives the starts and ends of tasks that a data centre
// group with three voters on files commits. One command is under way at a time,
// as the planner has it.
func BenchmarkCentreStarts(b *testing.B) {
	const commands = 40
	for _, starts := range []int{1, 8, 31, 128, 512} {
		b.Run(fmt.Sprintf("starts=%d", starts), func(b *testing.B) {
			nods := startVMs(b, 3)
			nod := waitLeased(b, nods)
			populate(b, nod, 1, 0)
			siz := model.NewResources(1, 1, 0)
			jo, err := sched.NewJob(sched.JobSpec{ID: "starts", Team: "kiln", Tasks: starts * commands, Size: siz})
			if err != nil {
				b.Fatal(err)
			}
			propose(b, nod, sched.Submit(jo))
			from, cpu, start := readTraffic(nods), cpuTime(), time.Now()
			for num := range commands {
				var begin, end []sched.Op
				for at := range starts {
					tid := model.NewTaskID("starts", num*starts+at)
					begin = append(begin, sched.Start(tid, 1, benchWorker(0), siz, sched.Checkpoint{}, false))
					end = append(end, sched.Confirm(tid, 1, sched.Checkpoint{}), sched.End(tid, 1, benchWorker(0), sched.Succeeded))
				}
				propose(b, nod, begin...)
				propose(b, nod, end...)
			}
			elapsed, till, total := time.Since(start), readTraffic(nods), float64(starts*commands)
			sent := 0.0
			for i := range from {
				sent = max(sent, float64(till[i].sent-from[i].sent))
			}
			b.ReportMetric(total/elapsed.Seconds(), "starts/s")
			b.ReportMetric(elapsed.Seconds()*1000/(2*commands), "ms/command")
			b.ReportMetric(sent/total, "leaderSentB/start")
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/total, "cpu-us/start")
			b.ReportMetric(0, "ns/op")
		})
	}
}
