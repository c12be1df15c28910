// Command drive plays the cases of this review that are scripts: it starts the system as
// separate processes, with stand-ins of clients, workers and the operator in this process.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// env is what a case works with.
type env struct {
	ctx     context.Context
	rec     *record
	cl      *cluster
	his     *history
	trouble bool
}

// cases has the cases by name. A case returns one of the exit codes.
var cases = map[string]func(en *env) int{}

func main() {
	name := flag.String("case", "", "the case")
	program := flag.String("program", "target/guavarail", "the program")
	out := flag.String("record", "record.txt", "the record")
	flag.Parse()
	fn := cases[*name]
	if fn == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(failed)
	}
	fil, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	os.Exit(play(fn, fil, *program))
}

// play starts the system, plays a case and ends all processes.
func play(fn func(en *env) int, fil *os.File, program string) int {
	defer fil.Close()
	rec := &record{out: fil, start: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	cl, err := newCluster(rec, program)
	if cl != nil {
		defer cl.stop()
	}
	if err != nil {
		rec.printf("the system could not be started: %v", err)
		return failed
	}
	en := &env{ctx: ctx, rec: rec, cl: cl, his: &history{}, trouble: os.Getenv("TROUBLE") != "0"}
	if !en.setUp() {
		rec.printf("the system did not accept the first configuration")
		return failed
	}
	code := fn(en)
	rec.printf("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", failed: "the case could not run"}[code])
	return code
}

// setUp waits until the system has acknowledged the first configuration.
func (en *env) setUp() bool {
	for range 8 {
		if en.cl.order(0, "POST", "/Config.Replace", configuration(1, 0)) {
			return true
		}
	}
	return false
}

// workers starts num workers in each zone.
func (en *env) workers(num int, cpu int64) []*worker { return en.workersOf(num, cpu, 0) }

// workersOf starts num workers in each zone that have been up for the given time.
func (en *env) workersOf(num int, cpu int64, age time.Duration) []*worker {
	var out []*worker
	for i := range num {
		for z, zone := range en.cl.zones {
			id := fmt.Sprintf("i-%d%02d", z, i)
			wk := newWorker(en.rec, en.his, id, fmt.Sprintf("127.0.%d.%d:8080", z+1, i+1), zone, service, cpu, en.cl.controls())
			wk.epoch = wk.epoch.Add(-age)
			wk.born = wk.epoch.UnixMilli()
			out = append(out, wk)
			go wk.loop(en.ctx)
		}
	}
	return out
}

// report records the breaches of the rule, one a line, and returns the code of the case.
func (en *env) report(lines []string) int {
	for _, line := range lines {
		en.rec.printf("BROKEN: %s", line)
	}
	if len(lines) > 0 {
		return broken
	}
	return held
}
