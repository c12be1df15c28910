// Package status is the command "status": it prints the state of the system and
// what needs attention.
package status

import (
	"context"
	"strings"

	centres "guavarail/io/cmd/centre/list"
	"guavarail/io/cmd/shell"
	vms "guavarail/io/cmd/vm/list"
	"guavarail/io/rest"
	"guavarail/io/term"
)

// Options of the command.
type Options struct {
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("status", "Show the state of the system and what needs attention.", "guavarail status --api 10.0.0.1:7001", Run)
}

// Run prints the state of the system.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	cl, stop, err := opt.Dial(env)
	if err != nil {
		return err
	}
	defer stop()
	sta, err := cl.Status(ctx)
	if err != nil {
		return err
	}
	if opt.JSON {
		return env.Streams.JSON(sta)
	}
	if err := env.Streams.Lines(summary(sta)...); err != nil {
		return err
	}
	for _, ta := range []*term.Table{centres.Table(sta.Centres), vms.Table(sta.VMs), groups(sta.Groups), services(sta.Services)} {
		if ta.Len() == 0 {
			continue
		}
		if err := env.Streams.Table(ta); err != nil {
			return err
		}
		if err := env.Streams.Lines(""); err != nil {
			return err
		}
	}
	return nil
}

// summary returns the lines before the tables: the configuration in effect and the
// problems.
func summary(sta rest.Status) []string {
	first := "preset " + sta.InEffect.Preset + " is in effect, configuration " + shell.Int(sta.InEffect.Number)
	if ch := sta.Last; ch != nil {
		first += ": " + strings.TrimSpace(ch.Kind+" "+ch.Target) + " by " + ch.Operator
	}
	lines := []string{first}
	if !sta.Ready {
		lines = append(lines, "VM "+sta.VM+" is not ready: "+shell.OrDash(sta.NotReady))
	}
	if len(sta.Problems) == 0 {
		return append(lines, "no problems as seen from VM "+sta.VM+" in "+sta.Centre, "")
	}
	for _, pro := range sta.Problems {
		line := "problem " + pro.Kind + ": " + pro.Detail
		if pro.Advice != "" {
			line += "; " + pro.Advice
		}
		lines = append(lines, line)
	}
	return append(lines, "")
}

func groups(grs []rest.Group) *term.Table {
	ta := term.NewTable("group", "leader", "term", "applied", "voters")
	for _, gr := range grs {
		ta.Add(gr.Name, shell.OrDash(gr.Leader), shell.Int(gr.Term), shell.Int(gr.Applied), shell.List(gr.Voters))
	}
	return ta
}

func services(sers []rest.Service) *term.Table {
	ta := term.NewTable("service", "backends", "in flight", "queued", "p99", "target")
	for _, ser := range sers {
		ta.Add(ser.Name, shell.Int(ser.Backends), shell.Int(ser.InFlight), shell.Int(ser.Queued),
			shell.Millis(ser.P99Ms), shell.Millis(ser.TailTargetMs))
	}
	return ta
}
