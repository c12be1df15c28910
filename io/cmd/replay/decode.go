// Package replay is the command "replay": it runs a recorded trace against the
// scheduler and compares the outcome with the one that the trace expects.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/core/sched"
	"guavarail/core/trace"
)

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 1 << 20

// LineError reports an invalid line of a trace.
type LineError struct {
	name  string
	line  int
	cause string
}

// Error returns the file, the line number and what is accepted there.
func (err *LineError) Error() string {
	return err.name + ":" + strconv.Itoa(err.line) + ": " + err.cause
}

// Advice returns what the operator should do next.
func (*LineError) Advice() string { return "correct this line of the trace" }

// line is one line of a trace. The event determines which fields are used. AtMs and
// EndMs count from the start of the trace.
type line struct {
	AtMs    int64           `json:"atMs"`
	Event   string          `json:"event"`
	Count   int             `json:"count"`
	Jobs    []model.JobID   `json:"jobs"`
	Workers []string        `json:"workers"`
	Rack    string          `json:"rack"`
	Service model.ServiceID `json:"service"`
	// TailMs is the tail latency of the service without load and batch tasks.
	TailMs int64 `json:"tailMs"`
	// Load is the load of the service; 1 is full load.
	Load float64 `json:"load"`

	Job          model.JobID  `json:"job"`
	Team         model.TeamID `json:"team"`
	Priority     string       `json:"priority"`
	Kind         string       `json:"kind"`
	Tasks        int          `json:"tasks"`
	MilliCPU     int64        `json:"milliCpu"`
	MemoryMB     int64        `json:"memoryMb"`
	Accelerators int64        `json:"accelerators"`
	RunMs        int64        `json:"runMs"`
	// UsesMilliCPU is the actual use of one task; 0 stands for MilliCPU.
	UsesMilliCPU int64 `json:"usesMilliCpu"`
	// Slowdown is the relative increase of a service's tail latency that one task
	// adds at full load.
	Slowdown          float64 `json:"slows"`
	AlwaysFails       bool    `json:"fails"`
	Drain             string  `json:"drain"`
	TailTargetMs      int64   `json:"tailTargetMs"`
	BatchShare        int     `json:"batchSharePercent"`
	GuardsOff         bool    `json:"guardsOff"`
	EndMs             int64   `json:"endMs"`
	Expect            *expect `json:"expect"`
	QuotaMilliCPU     int64   `json:"quotaMilliCpu"`
	QuotaMemoryMB     int64   `json:"quotaMemoryMb"`
	QuotaAccelerators int64   `json:"quotaAccelerators"`
}

// expect is the expected outcome in a trace. Fields that are absent are not checked.
type expect struct {
	Finished     *int   `json:"finished"`
	Failed       *int   `json:"failed"`
	Cancelled    *int   `json:"cancelled"`
	MaxEvictions *int   `json:"maxEvictions"`
	MaxAttempts  *int   `json:"maxAttempts"`
	MaxTailMs    *int64 `json:"maxTailMs"`
	// Reasons has the reason for which each job has to end.
	Reasons map[model.JobID]string `json:"reasons"`
}

// decoder decodes a trace line by line and collects its preset, events and
// expected outcome.
type decoder struct {
	name   string
	line   int
	preset model.PresetSpec
	events []trace.Event
	end    time.Duration
	expect trace.Expected
}

// Decode reads a trace in JSON Lines format. name is the file name for error messages.
func Decode(name string, in io.Reader) (trace.Trace, error) {
	dec := &decoder{name: name, preset: model.PresetSpec{Name: "trace"}}
	dec.expect = (&expect{}).expected()
	sca := bufio.NewScanner(in)
	sca.Buffer(nil, maxLineBytes)
	for sca.Scan() {
		dec.line++
		if len(bytes.TrimSpace(sca.Bytes())) == 0 {
			continue
		}
		if err := dec.decodeLine(sca.Bytes()); err != nil {
			return trace.Trace{}, errors.Trace(err)
		}
	}
	if err := sca.Err(); err != nil {
		return trace.Trace{}, errors.Annotatef(err, "read %s", name)
	}
	pre, err := model.NewPreset(dec.preset)
	if err != nil {
		return trace.Trace{}, errors.Annotate(err, name)
	}
	return trace.New(name, pre, dec.end, dec.events, dec.expect), nil
}

func (dec *decoder) lineError(cause string) error {
	return &LineError{name: dec.name, line: dec.line, cause: cause}
}

func (dec *decoder) decodeLine(buf []byte) error {
	var ln line
	jdec := json.NewDecoder(bytes.NewReader(buf))
	jdec.DisallowUnknownFields()
	if err := jdec.Decode(&ln); err != nil {
		return dec.lineError("use one JSON object with the fields of the trace format: " + err.Error())
	}
	switch ln.Event {
	case "preset":
		return dec.decodePreset(ln)
	case "expect":
		if ln.Expect == nil {
			return dec.lineError("give expect")
		}
		dec.end, dec.expect = millis(ln.EndMs), ln.Expect.expected()
		return nil
	}
	return dec.decodeEvent(ln)
}

func (dec *decoder) decodePreset(ln line) error {
	mode, ok := model.ParseDrainMode(ln.Drain)
	if !ok {
		return dec.lineError("use drain finish or checkpoint")
	}
	dec.preset.Drain, dec.preset.BatchSharePercent, dec.preset.GuardsOff = mode, ln.BatchShare, ln.GuardsOff
	if ln.Service != "" {
		dec.preset.Services = append(dec.preset.Services, model.NewServicePolicy(ln.Service, millis(ln.TailTargetMs), 1))
	}
	if ln.Team != "" {
		lim := model.NewResources(ln.QuotaMilliCPU, ln.QuotaMemoryMB, ln.QuotaAccelerators)
		dec.preset.Quotas = append(dec.preset.Quotas, model.NewQuota(ln.Team, lim, 1))
	}
	return nil
}

func (dec *decoder) decodeEvent(ln line) error {
	kind := trace.Kind(ln.Event)
	if !kind.Known() {
		return dec.lineError("use a known event, not " + strconv.Quote(ln.Event))
	}
	size := model.NewResources(ln.MilliCPU, ln.MemoryMB, ln.Accelerators)
	spec := trace.EventSpec{
		At: millis(ln.AtMs), Kind: kind, Count: ln.Count, Size: size, Jobs: ln.Jobs, Rack: ln.Rack,
		Service: ln.Service, BaseTail: millis(ln.TailMs), Load: ln.Load,
	}
	if num := len(dec.events); num > 0 && spec.At < dec.events[num-1].At() {
		return dec.lineError("give events in the order of atMs")
	}
	for _, id := range ln.Workers {
		spec.Workers = append(spec.Workers, model.WorkerID(id))
	}
	if kind == trace.Submit {
		pri, ok := model.ParsePriority(ln.Priority)
		if !ok {
			return dec.lineError("use priority batch, service or urgent")
		}
		jo, err := sched.NewJob(sched.JobSpec{
			ID: ln.Job, Team: ln.Team, Priority: pri, Kind: ln.Kind, Tasks: ln.Tasks, Size: size, RunTime: millis(ln.RunMs),
		})
		if err != nil {
			return dec.lineError(err.Error())
		}
		spec.Job = jo
		spec.Behaviour = trace.Behaviour{RunTime: millis(ln.RunMs), Slowdown: ln.Slowdown, AlwaysFails: ln.AlwaysFails}
		if ln.UsesMilliCPU > 0 {
			spec.Behaviour.Usage = model.NewResources(ln.UsesMilliCPU, ln.MemoryMB, ln.Accelerators)
		}
	}
	dec.events = append(dec.events, trace.NewEvent(spec))
	return nil
}

// expected converts the expected outcome. A number that is absent becomes negative,
// which trace.Expected does not check.
func (ex *expect) expected() trace.Expected {
	num := func(val *int) int {
		if val == nil {
			return -1
		}
		return *val
	}
	out := trace.Expected{
		Finished: num(ex.Finished), Failed: num(ex.Failed), Cancelled: num(ex.Cancelled),
		MaxEvictions: num(ex.MaxEvictions), MaxAttempts: num(ex.MaxAttempts), MaxTail: -time.Millisecond, Reasons: ex.Reasons,
	}
	if ex.MaxTailMs != nil {
		out.MaxTail = millis(*ex.MaxTailMs)
	}
	return out
}

func millis(val int64) time.Duration { return time.Duration(val) * time.Millisecond }
