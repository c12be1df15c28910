package shell

import (
	"context"
	"strings"

	"guavarail/io/client"
	"guavarail/io/config"
	"guavarail/io/rest"
)

// DefaultAPI is the address that commands call when none is given.
const DefaultAPI = "127.0.0.1:7001"

// Target says which VMs a command calls.
type Target struct {
	API      string `arg:"--api" placeholder:"ADDRESSES" help:"IP:port of the API of one or more VMs, separated by commas [default: GUAVARAIL_API, else 127.0.0.1:7001]"`
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings file with the list of VMs, instead of --api"`
}

// Dial returns a client of the VMs.
func (ta Target) Dial(env Env) (*client.Client, func(), error) {
	addresses, err := ta.addresses(env)
	if err != nil {
		return nil, func() {}, err
	}
	return env.Connect(client.Config{Addresses: addresses})
}

func (ta Target) addresses(env Env) ([]string, error) {
	if ta.API != "" && ta.Settings != "" {
		return nil, &UsageError{problem: "--api and --settings exclude each other", advice: "give one of them"}
	}
	if ta.Settings != "" {
		return listed(ta.Settings)
	}
	text := ta.API
	if text == "" {
		text = env.Getenv("GUAVARAIL_API")
	}
	if text == "" {
		text = DefaultAPI
	}
	var out []string
	for _, adr := range strings.Split(text, ",") {
		if adr = strings.TrimSpace(adr); adr != "" {
			out = append(out, adr)
		}
	}
	return out, nil
}

// listed returns the API addresses in a settings file, those of its own data
// centre first.
func listed(file string) ([]string, error) {
	se, err := config.Load(file)
	if err != nil {
		return nil, err
	}
	var near, far []string
	for _, vm := range se.VMs() {
		if vm.Centre() == se.Centre() {
			near = append(near, vm.API().String())
			continue
		}
		far = append(far, vm.API().String())
	}
	return append(near, far...), nil
}

// Operator identifies an operator command.
type Operator struct {
	Operator string `arg:"--operator" placeholder:"NAME" help:"your name [default: GUAVARAIL_OPERATOR, else USER]"`
	Command  string `arg:"--command" placeholder:"ID" help:"identity of a command sent before, to send it again"`
	Number   uint64 `arg:"--number" placeholder:"N" help:"configuration number to take [default: the one after the number in effect]"`
}

// Header returns the head of an operator command. Without a number it asks
// for the one in effect.
func (op Operator) Header(ctx context.Context, env Env, cl *client.Client) (rest.Header, error) {
	he := rest.Header{Command: op.Command, Number: op.Number, Operator: op.Operator}
	for _, key := range []string{"GUAVARAIL_OPERATOR", "USER"} {
		if he.Operator == "" {
			he.Operator = env.Getenv(key)
		}
	}
	if he.Operator == "" {
		return he, &UsageError{problem: "the name of the operator is not known", advice: "give --operator NAME"}
	}
	if he.Command != "" && he.Number == 0 {
		return he, &UsageError{problem: "a command is sent again without its number", advice: "give --number as in the first send"}
	}
	if he.Command == "" {
		he.Command = env.NewID()
	}
	if he.Number == 0 {
		list, err := cl.Presets(ctx)
		if err != nil {
			return he, err
		}
		he.Number = list.InEffect.Number + 1
	}
	return he, nil
}

// Send sends an operator command and prints the change. When its outcome is not
// known, the error says how to send it again.
func Send(ctx context.Context, env Env, ta Target, op Operator, out Output, send func(cl *client.Client, he rest.Header) (rest.CommandAccepted, error)) error {
	cl, stop, err := ta.Dial(env)
	if err != nil {
		return err
	}
	defer stop()
	he, err := op.Header(ctx, env, cl)
	if err != nil {
		return err
	}
	done, err := send(cl, he)
	if err != nil {
		return resend(err, he)
	}
	if out.JSON {
		return env.Streams.JSON(done)
	}
	ch := done.Change
	return env.Streams.Lines(ch.Kind + " " + ch.Target + " is configuration " + Int(ch.Number) + "; preset " + ch.Preset + " is in effect")
}
