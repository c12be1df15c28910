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

// Target has the options that select the VMs to call. Commands embed it.
type Target struct {
	API      string `arg:"--api" placeholder:"ADDRESSES" help:"IP:port of the API of one or more VMs, separated by commas [default: GUAVARAIL_API, else 127.0.0.1:7001]"`
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings file with the list of VMs, instead of --api"`
}

// Dial returns a client of the selected VMs and a function that closes its
// connections.
func (ta Target) Dial(env Env) (*client.Client, func(), error) {
	addresses, err := ta.addresses(env)
	if err != nil {
		return nil, func() {}, err
	}
	return env.Connect(client.Config{Addresses: addresses})
}

// addresses returns the API addresses of the selected VMs.
func (ta Target) addresses(env Env) ([]string, error) {
	if ta.API != "" && ta.Settings != "" {
		return nil, &UsageError{problem: "--api and --settings exclude each other", advice: "give one of them"}
	}
	if ta.Settings != "" {
		return settingsAddresses(ta.Settings)
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

// settingsAddresses returns the API addresses of the VMs that a settings file lists.
// Those in the same data centre as the VM to which the file belongs come first.
func settingsAddresses(file string) ([]string, error) {
	se, err := config.Load(file)
	if err != nil {
		return nil, err
	}
	var sameCentre, others []string
	for _, vm := range se.VMs() {
		if vm.Centre() == se.Centre() {
			sameCentre = append(sameCentre, vm.API().String())
			continue
		}
		others = append(others, vm.API().String())
	}
	return append(sameCentre, others...), nil
}

// Operator has the options that identify an operator command. Commands embed it.
type Operator struct {
	Operator string `arg:"--operator" placeholder:"NAME" help:"your name [default: GUAVARAIL_OPERATOR, else USER]"`
	Command  string `arg:"--command" placeholder:"ID" help:"identity of a command sent before, to send it again"`
	Number   uint64 `arg:"--number" placeholder:"N" help:"configuration number to take [default: the one after the number in effect]"`
}

// Header returns the header of an operator command. If no configuration number is
// given, it reads the number in effect from the API and uses the next one. A command
// that is sent again needs both its ID and its number.
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

// Send sends an operator command and prints the resulting change. If the outcome is
// unknown, the advice of the error says how to send the command again.
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
		return withResendAdvice(err, he)
	}
	if out.JSON {
		return env.Streams.JSON(done)
	}
	ch := done.Change
	return env.Streams.Lines(ch.Kind + " " + ch.Target + " is configuration " + Int(ch.Number) + "; preset " + ch.Preset + " is in effect")
}
