package cell

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/cell"
	"guavarail/io/disk"
)

// BenchmarkLeaderAccess measures the check of a call by the leader with 450 workspaces: a
// turn on the group's actor, which each call had before there were keys, and one with the
// check.
func BenchmarkLeaderAccess(b *testing.B) {
	const workspaces = 450
	spec := cell.DocumentSpec{
		Version: 1, Keyed: true, Services: []cell.Service{cell.NewService("desk", true)},
		Queues: []cell.Queue{cell.NewQueue(cell.QueueSpec{Host: "desk.example", Prefix: "/fit/", Service: "desk", Timeout: time.Second})},
	}
	for num := range workspaces {
		name := fmt.Sprintf("%020d", num)
		spec.Workspaces = append(spec.Workspaces, testWorkspace(name, name))
	}
	doc, err := cell.NewDocument(spec)
	if err != nil {
		b.Fatal(err)
	}
	vm := startCell(b, disk.OS{})
	lea := configureAny(b, []*VM{vm}, doc)
	cal := Call{Method: "GET", Host: "desk.example", Path: "/fit/", Key: fmt.Sprintf("%020d", workspaces-1)}
	b.Run("turn", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := View(b.Context(), lea, func(*cell.State) bool { return true }); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("check", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if acc, err := lea.Access(b.Context(), cal); err != nil || acc.Outcome() != cell.Granted {
				b.Fatal(acc.Outcome(), err)
			}
		}
	})
}
