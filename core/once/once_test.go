package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"guavarail/core/model"
)

// keyModel is the sequential specification of one key: at most one request owns it
// at a time, and only its owner can settle or release the claim. Times are left
// out, because no claim expires in the test.
type keyModel struct {
	owner string
	state State
}

// next returns the model after co and the expected result.
func (km keyModel) next(co Command) (keyModel, Result) {
	switch {
	case km.state == None && co.Op() == Claim:
		return keyModel{owner: co.Owner(), state: Running}, NewResult(true, Running)
	case km.state == None:
		return km, NewResult(false, None)
	case km.owner != co.Owner():
		return km, NewResult(false, km.state)
	case co.Op() == Claim:
		return km, NewResult(km.state == Running, km.state)
	case co.Op() == Settle:
		km.state = max(km.state, co.State())
		return km, NewResult(true, km.state)
	case km.state == Running:
		return keyModel{}, NewResult(true, None)
	}
	return km, NewResult(false, km.state)
}

// keySpec is the specification for the linearizability checker, which checks each
// key on its own.
var keySpec = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range ops {
			key := op.Input.(Command).Key()
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, part := range byKey {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return keyModel{} },
	Step: func(state, in, out any) (bool, any) {
		next, want := state.(keyModel).next(in.(Command))
		// Any result is accepted for a command whose result was lost.
		return out == nil || out == want, next
	},
}

// drawCommand returns a random command on one of a few keys and owners.
func drawCommand(t *rapid.T, now time.Duration) Command {
	key := fmt.Sprint("k-", rapid.IntRange(1, 3).Draw(t, "key"))
	owner := fmt.Sprint("o-", rapid.IntRange(1, 4).Draw(t, "owner"))
	switch rapid.IntRange(0, 3).Draw(t, "op") {
	case 0, 1:
		return NewClaim(key, owner, now, 10*time.Minute)
	case 2:
		return NewSettle(key, owner, rapid.SampledFrom([]State{Unknown, Answered}).Draw(t, "state"), now)
	}
	return NewRelease(key, owner, now)
}

// Guards against two owners of one key at a time when several VMs propose
// concurrently, results are lost and replicas are restored from snapshots.
func TestClaimsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := &Claims{}
		var hist []porcupine.Operation
		var pending []porcupine.Operation
		for at := int64(1); at <= 60; at++ {
			if len(pending) < 4 && rapid.Bool().Draw(t, "propose") {
				co := drawCommand(t, time.Duration(at)*time.Second)
				pending = append(pending, porcupine.Operation{ClientId: int(at), Input: co, Call: at * 10})
				continue
			}
			if len(pending) == 0 {
				continue
			}
			// Concurrent proposals are committed in any order.
			pos := rapid.IntRange(0, len(pending)-1).Draw(t, "commit")
			op := pending[pos]
			pending = append(pending[:pos:pos], pending[pos+1:]...)
			op.Output, op.Return = any(cl.Apply(op.Input.(Command))), at*10+5
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				op.Output = nil
			}
			hist = append(hist, op)
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				next := &Claims{}
				next.Restore(cl.Snapshot())
				cl = next
			}
		}
		if !porcupine.CheckOperations(keySpec, hist) {
			t.Fatalf("not linearizable: %v", hist)
		}
	})
}

// Guards against claims that never expire, claims that stay Running after their
// maxRunTime, and released claims that are never removed from memory.
func TestClaimsExpire(t *testing.T) {
	var cl Claims
	for i := range 5000 {
		key := fmt.Sprint("k-", i)
		cl.Apply(NewClaim(key, "o", time.Second, time.Minute))
		cl.Apply(NewRelease(key, "o", time.Second))
	}
	if cl.Len() != 0 || len(cl.queue) > 2048 {
		t.Errorf("%d claims and a queue of %d after release, want 0 and at most 2048", cl.Len(), len(cl.queue))
	}
	cl.Apply(NewClaim("k", "o-1", time.Second, time.Minute))
	if re := cl.Apply(NewClaim("k", "o-2", 10*time.Minute, time.Minute)); re.Accepted() || re.State() != Unknown {
		t.Errorf("claim past its maximum run time: state %v, want unknown", re.State())
	}
	if re := cl.Apply(NewClaim("k", "o-2", 25*time.Hour, time.Minute)); !re.Accepted() {
		t.Error("claim not expired after 24 h")
	}
}

// Guards against a change of home for keys of the remaining data centres when one
// data centre is removed, and against an uneven distribution.
func TestHomeMovesOnlyKeysOfLostCentre(t *testing.T) {
	all := []model.CentreID{"riga-a", "riga-b", "riga-c"}
	counts := map[model.CentreID]int{}
	for i := range 3000 {
		key := fmt.Sprint("orders/", i)
		home := Home(key, all)
		counts[home]++
		if home != "riga-c" && Home(key, all[:2]) != home {
			t.Fatalf("%s moved from %s", key, home)
		}
	}
	for ce, num := range counts {
		if num < 800 {
			t.Errorf("%s is the home of %d of 3000 keys, want at least 800", ce, num)
		}
	}
}
