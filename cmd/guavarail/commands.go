package main

import (
	centrein "guavarail/io/cmd/centre/in"
	centrelist "guavarail/io/cmd/centre/list"
	centreout "guavarail/io/cmd/centre/out"
	"guavarail/io/cmd/demo"
	jobcancel "guavarail/io/cmd/job/cancel"
	joblist "guavarail/io/cmd/job/list"
	jobshow "guavarail/io/cmd/job/show"
	jobsubmit "guavarail/io/cmd/job/submit"
	"guavarail/io/cmd/load"
	presetapply "guavarail/io/cmd/preset/apply"
	presetcreate "guavarail/io/cmd/preset/create"
	presetlist "guavarail/io/cmd/preset/list"
	presetshow "guavarail/io/cmd/preset/show"
	"guavarail/io/cmd/replay"
	"guavarail/io/cmd/serve"
	settingscheck "guavarail/io/cmd/settings/check"
	"guavarail/io/cmd/shell"
	"guavarail/io/cmd/status"
	"guavarail/io/cmd/timeline"
	vmlist "guavarail/io/cmd/vm/list"
	vmreplace "guavarail/io/cmd/vm/replace"
	workerlist "guavarail/io/cmd/worker/list"
	"guavarail/platform"
)

// commands returns all commands of the program, in the order in which the help lists
// them.
func commands() []shell.Command {
	return []shell.Command{
		demo.New(),
		replay.New(),
		load.New(),
		serve.New(platform.Attach),
		status.New(),
		timeline.New(),
		presetlist.New(),
		presetshow.New(),
		presetcreate.New(),
		presetapply.New(),
		centrelist.New(),
		centreout.New(),
		centrein.New(),
		jobsubmit.New(),
		joblist.New(),
		jobshow.New(),
		jobcancel.New(),
		workerlist.New(),
		vmlist.New(),
		vmreplace.New(),
		settingscheck.New(),
	}
}
