package fleet_test

import (
	"testing"

	"guavarail/core/fleet"
)

// Guards against a command that a paused VM forwards late and that undoes a newer one: a data
// centre would return to service although it has been taken out since.
func TestLateCommandUndoesNoNewerOne(t *testing.T) {
	late := command("late", 3, fleet.NewCentreIn("a"))
	for _, tt := range []struct {
		name string
		// newer are accepted before the late command arrives.
		newer []fleet.Command
	}{
		{"sent again through another VM", []fleet.Command{late, command("again", 4, fleet.NewCentreOut("a", false))}},
		{"given up", []fleet.Command{command("other", 3, fleet.NewCentreOut("b", false))}},
	} {
		st := fleet.New()
		first := command("first", 1, fleet.NewBootstrap([]fleet.VM{vm("a1", "a", true), vm("b1", "b", true), vm("c1", "c", true)}))
		for _, cmd := range append([]fleet.Command{first, command("out", 2, fleet.NewCentreOut("a", false))}, tt.newer...) {
			if err := st.Apply(cmd).Err(); err != nil {
				t.Fatalf("%s: %v", tt.name, err)
			}
		}
		number := st.Number()
		st.Apply(late)
		if cen, _ := st.Centre("a"); !cen.Out() || st.Number() != number {
			t.Errorf("%s: data centre out %v, number %d; want no change of number %d", tt.name, cen.Out(), st.Number(), number)
		}
	}
}
