// Package create is the command "preset create".
package create

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"guavarail/io/client"
	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
)

// Options of the command.
type Options struct {
	Name         string `arg:"positional,required" help:"name of the preset"`
	File         string `arg:"--file" help:"JSON file with the values, - for the input; the options below change them"`
	Replace      bool   `arg:"--replace" help:"overwrite an inactive preset of the same name"`
	DeadlineMs   int64  `arg:"--deadline-ms" placeholder:"MS" help:"deadline of requests without one, 10 to 600000 [default: 10000]"`
	MaxRequestMs int64  `arg:"--max-request-ms" placeholder:"MS" help:"longest time of a request, 10 to 600000 [default: 30000]"`
	QueuePerSlot int    `arg:"--queue-per-slot" placeholder:"N" help:"queued requests for each slot, 1 to 100 [default: 2]"`
	BatchShare   int    `arg:"--batch-share" placeholder:"PERCENT" help:"processors that batch may hold, 1 to 100 [default: 60]"`
	Drain        string `arg:"--drain" placeholder:"MODE" help:"batch of a data centre taken out: finish or checkpoint [default: finish]"`
	Forward      bool   `arg:"--forward" help:"allow forwarding requests to other data centres"`
	NoGuards     bool   `arg:"--no-guards" help:"turn the guards on tail latency off"`
	shell.Operator
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("preset create", "Create a preset; it is not active until it is switched to.",
		"guavarail preset create peak --file peak.json --batch-share 20 --forward", Run)
}

// Run creates the preset.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	pre, err := presetFromOptions(env, opt)
	if err != nil {
		return err
	}
	return shell.Send(ctx, env, opt.Target, opt.Operator, opt.Output, func(cl *client.Client, he rest.Header) (rest.CommandAccepted, error) {
		return cl.CreatePreset(ctx, rest.PresetCreate{Header: he, Preset: pre, Replace: opt.Replace})
	})
}

// presetFromOptions returns the preset in the file, with the values of the given
// options in place of those in the file.
func presetFromOptions(env shell.Env, opt Options) (rest.Preset, error) {
	var pre rest.Preset
	if opt.File != "" {
		if err := decodeFile(env, opt.File, &pre); err != nil {
			return pre, shell.NewFileError(opt.File, err)
		}
	}
	pre.Name, pre.Active, pre.By = opt.Name, false, nil
	overrideIfGiven(&pre.DeadlineMs, opt.DeadlineMs)
	overrideIfGiven(&pre.MaxRequestMs, opt.MaxRequestMs)
	overrideIfGiven(&pre.QueuePerSlot, opt.QueuePerSlot)
	overrideIfGiven(&pre.BatchSharePercent, opt.BatchShare)
	overrideIfGiven(&pre.Drain, opt.Drain)
	overrideIfGiven(&pre.Forward, opt.Forward)
	if opt.NoGuards {
		off := false
		pre.Guards = &off
	}
	return pre, nil
}

// overrideIfGiven sets dst to val unless val is the zero value of an option that is
// not given.
func overrideIfGiven[T comparable](dst *T, val T) {
	var zero T
	if val != zero {
		*dst = val
	}
}

// decodeFile decodes a JSON file, or the standard input for "-".
func decodeFile(env shell.Env, file string, pre *rest.Preset) error {
	src := env.Streams.In()
	if file != "-" {
		fil, err := os.Open(file)
		if err != nil {
			return err
		}
		defer func() { _ = fil.Close() }()
		src = io.Reader(fil)
	}
	dec := json.NewDecoder(src)
	// Otherwise a misspelt key would be ignored and the default used.
	dec.DisallowUnknownFields()
	return dec.Decode(pre)
}
