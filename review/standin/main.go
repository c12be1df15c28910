// Command review-standin plays one case of the review: it starts the program under review
// as separate processes on loopback addresses, with stand-ins of the workers, the clients
// and the operator, and checks one rule. Its exit status is 1 if the rule was broken, 0 if
// it held and 2 if the case could not run.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"time"
)

const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// play is what a case works with.
type play struct {
	rec     *recorder
	clu     *cluster
	opr     *operator
	cli     *client
	led     *ledger
	workers []*worker
	// trouble is false if the case is played without its disruption.
	trouble bool
}

var cases = map[string]func(pl *play) int{
	"large-number": caseLargeNumber,
	"odd-id":       caseOddID,
	"odd-address":  caseOddAddress,
	"many-ends":    caseManyEnds,
	"large-answer": caseLargeAnswer,
	"stale-order":  caseStaleOrder,
}

func main() { os.Exit(realMain()) }

func realMain() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE PROGRAM RECORD")
		return notRun
	}
	fn, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return notRun
	}
	defer os.RemoveAll(dir)
	program, _ := filepath.Abs(os.Args[2])
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", os.Args[1], trouble)
	clu, err := newCluster(rec, program, dir)
	defer clu.stop()
	if err != nil {
		rec.printf("not run: %v", err)
		return notRun
	}
	rnd := rand.New(rand.NewSource(time.Now().UnixNano()))
	pl := &play{rec: rec, clu: clu, opr: &operator{clu: clu, rnd: rnd}, cli: &client{clu: clu, rnd: rnd}, led: &ledger{}, trouble: trouble}
	defer func() {
		for _, wk := range pl.workers {
			wk.close()
		}
	}()
	if !pl.prepare() {
		rec.printf("not run: the deployment did not come up")
		keepLogs(dir)
		return notRun
	}
	code := fn(pl)
	rec.printf("result: %s", [...]string{"the rule held", "THE RULE WAS BROKEN", "the case could not run"}[code])
	keepLogs(dir)
	return code
}

// keepLogs copies the logs of the processes to REVIEW_LOGS, if that is set.
func keepLogs(dir string) {
	to := os.Getenv("REVIEW_LOGS")
	if to == "" {
		return
	}
	names, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, name := range names {
		if data, err := os.ReadFile(name); err == nil {
			_ = os.WriteFile(filepath.Join(to, filepath.Base(name)), data, 0o644)
		}
	}
}

// prepare waits for the deployment, sends the first configuration and starts six workers.
func (pl *play) prepare() bool {
	if !pl.clu.awaitReady(20 * time.Second) {
		return false
	}
	if pl.opr.configure(newConfiguration(1), 10*time.Second) != 200 {
		return false
	}
	for num := range 6 {
		wk, err := newWorker(pl.clu, pl.led, num)
		if err != nil {
			return false
		}
		pl.workers = append(pl.workers, wk)
	}
	time.Sleep(2 * time.Second)
	// A short job shows that the whole path works.
	id := pl.cli.newID()
	return pl.cli.submit(id, newJob(2, 1000, 300*time.Millisecond), 10*time.Second) == 200 && pl.cli.awaitState(id, "completed", 10*time.Second) == "completed"
}
