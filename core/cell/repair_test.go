package cell

import (
	"testing"
	"time"

	"guavarail/core/model"
	"guavarail/core/quorum"
)

func voters(vms ...model.VMID) quorum.Members {
	var lst []quorum.Member
	for _, vm := range vms {
		lst = append(lst, quorum.NewMember(vm, quorum.DiskID("disk-"+vm), true))
	}
	return quorum.NewMembers(false, lst...)
}

func at(dur time.Duration) model.Instant { return model.Instant(dur) }

// announce announces VMs with their own disks.
func announce(re *Repair, now model.Instant, vms ...model.VMID) {
	for _, vm := range vms {
		re.Announce(Presence{VM: vm, Disk: quorum.DiskID("disk-" + vm), Heard: now})
	}
}

// Guards against a lost disk, a lost VM or a new VM that is not handled without
// an operator's command, and against removing a voter that may only be
// partitioned, or that is lost, while it has no replacement. A VM with an emptied
// disk is its own replacement if there is no other, unless too few voters remain.
func TestRepair(t *testing.T) {
	now := at(20 * time.Second)
	learner := quorum.NewMembers(false, append(voters("a", "b", "c").List(), quorum.NewMember("d", "disk-d", false))...)
	tests := []struct {
		name  string
		mems  quorum.Members
		setup func(re *Repair)
		// kind and vm are the wanted change; vm is empty if none is wanted.
		kind quorum.ChangeKind
		vm   model.VMID
	}{
		{"all present", voters("a", "b", "c"), func(re *Repair) { announce(re, now, "b", "c") }, 0, ""},
		{"voter partitioned, no other VM", voters("a", "b", "c"), func(re *Repair) { announce(re, now, "b") }, 0, ""},
		{"emptied disk", voters("a", "b", "c"), func(re *Repair) {
			announce(re, now, "c")
			re.Announce(Presence{VM: "b", Disk: "new", Heard: now})
		}, quorum.Remove, "b"},
		{"member with emptied disk removed", voters("a", "c"), func(re *Repair) {
			announce(re, now, "c")
			re.Announce(Presence{VM: "b", Disk: "new", Heard: now})
		}, quorum.AddLearner, "b"},
		{"spare VM, all present", voters("a", "b", "c"), func(re *Repair) { announce(re, now, "b", "c", "d") }, 0, ""},
		{"spare VM, voter lost", voters("a", "b", "c"), func(re *Repair) { announce(re, now, "b", "d") }, quorum.AddLearner, "d"},
		{"spare VM is learner, voter lost", learner, func(re *Repair) { announce(re, now, "b", "d") }, quorum.Promote, "d"},
		{"replacement is voter, voter lost", voters("a", "b", "c", "d"), func(re *Repair) { announce(re, now, "b", "d") }, quorum.Remove, "c"},
		{"replacement is voter, lost voter is back", voters("a", "b", "c", "d"), func(re *Repair) { announce(re, now, "b", "c", "d") }, quorum.Remove, "d"},
		{"replacement was not promoted in time, no other VM", learner, func(re *Repair) {
			announce(re, now, "b", "d")
			re.Failed(now, quorum.NewChange(quorum.Promote, "d"))
		}, quorum.Promote, "d"},
		{"replacement was not promoted in time, another VM", learner, func(re *Repair) {
			announce(re, now, "b", "d", "e")
			re.Failed(now, quorum.NewChange(quorum.Promote, "d"))
		}, quorum.AddLearner, "e"},
		{"replacement was not promoted in time, emptied disk", learner, func(re *Repair) {
			announce(re, now, "c", "d")
			re.Announce(Presence{VM: "b", Disk: "new", Heard: now})
			re.Failed(now, quorum.NewChange(quorum.Promote, "d"))
		}, quorum.Remove, "b"},
		{"emptied disk and spare VM", voters("a", "b", "c"), func(re *Repair) {
			announce(re, now, "c", "d")
			re.Announce(Presence{VM: "b", Disk: "new", Heard: now})
		}, quorum.AddLearner, "d"},
		{"emptied disk, too few voters left", voters("a", "b"), func(re *Repair) {
			re.Announce(Presence{VM: "b", Disk: "new", Heard: now})
		}, 0, ""},
		{
			"one voter too few, learner present", quorum.NewMembers(false, append(voters("a", "b").List(), quorum.NewMember("d", "disk-d", false))...),
			func(re *Repair) { announce(re, now, "b", "d") }, quorum.Promote, "d",
		},
		{"silent learner", learner, func(re *Repair) { announce(re, now, "b", "c") }, quorum.Remove, "d"},
	}
	for _, tt := range tests {
		re := &Repair{Voters: 3}
		re.Start(at(0))
		tt.setup(re)
		chg, ok := re.Next(now, "a", tt.mems)
		if ok != (tt.vm != "") || ok && (chg.Kind() != tt.kind || chg.VM() != tt.vm) {
			t.Errorf("%s: change %v of %q, %v; want %v of %q", tt.name, chg.Kind(), chg.VM(), ok, tt.kind, tt.vm)
		}
	}
}

// Guards against a new leader that removes voters before they had time to
// announce themselves.
func TestNewLeaderWaitsForAnnouncements(t *testing.T) {
	re := &Repair{Voters: 3}
	re.Start(at(10 * time.Second))
	now := at(11 * time.Second)
	announce(re, now, "d")
	if chg, ok := re.Next(now, "a", voters("a", "b", "c")); ok {
		t.Errorf("change %v of %s one second after this VM became the leader, want none", chg.Kind(), chg.VM())
	}
}

// announceIn announces VMs of a data centre with their own disks.
func announceIn(re *Repair, now model.Instant, centre model.CentreID, vms ...model.VMID) {
	for _, vm := range vms {
		re.Announce(Presence{VM: vm, Centre: centre, Disk: quorum.DiskID("disk-" + vm), Heard: now})
	}
}

// Guards against a majority of the voters in one data centre, whose loss then stops
// the cell, and against moves of voters that make no difference.
func TestVotersAreSpreadOverDataCentres(t *testing.T) {
	now := at(20 * time.Second)
	tests := []struct {
		name string
		mems quorum.Members
		// centres holds the present VMs by data centre; this VM, a, is in x.
		centres map[model.CentreID][]model.VMID
		kind    quorum.ChangeKind
		vm      model.VMID
	}{
		{"spread", voters("a", "b", "c"), map[model.CentreID][]model.VMID{"x": {"d"}, "y": {"b"}, "z": {"c"}}, 0, ""},
		{"replacement in the emptiest", voters("a", "b", "c"), map[model.CentreID][]model.VMID{"x": {"d"}, "y": {"b", "e"}, "z": {"f"}}, quorum.AddLearner, "f"},
		{"majority in one", voters("a", "b", "c"), map[model.CentreID][]model.VMID{"x": {"b", "d"}, "y": {"c"}, "z": {"f"}}, quorum.AddLearner, "f"},
		{"surplus voter in the fullest", voters("a", "b", "c", "f"), map[model.CentreID][]model.VMID{"x": {"b", "d"}, "y": {"c"}, "z": {"f"}}, quorum.Remove, "b"},
		{"majority in one, no better VM", voters("a", "b", "c"), map[model.CentreID][]model.VMID{"x": {"b", "d"}, "y": {"c", "e"}}, 0, ""},
		{"unknown data centres", voters("a", "b", "c"), map[model.CentreID][]model.VMID{"": {"b", "c", "d"}}, 0, ""},
	}
	for _, tt := range tests {
		re := &Repair{Voters: 3, Centre: "x"}
		re.Start(at(0))
		for centre, vms := range tt.centres {
			announceIn(re, now, centre, vms...)
		}
		chg, ok := re.Next(now, "a", tt.mems)
		if ok != (tt.vm != "") || ok && (chg.Kind() != tt.kind || chg.VM() != tt.vm) {
			t.Errorf("%s: change %v of %q, %v; want %v of %q", tt.name, chg.Kind(), chg.VM(), ok, tt.kind, tt.vm)
		}
	}
}
