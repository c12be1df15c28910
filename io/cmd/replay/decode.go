// Package replay runs recorded traces against the scheduler and compares the
// outcome with what the trace expects.
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

// maxLine bounds one line of a trace.
const maxLine = 1 << 20

// LineError reports a line of a trace that is not accepted.
type LineError struct {
	name  string
	line  int
	cause string
}

// Error says where the line is and what it should be.
func (err *LineError) Error() string {
	return err.name + ":" + strconv.Itoa(err.line) + ": " + err.cause
}

// Advice says what to do next.
func (*LineError) Advice() string { return "correct this line of the trace" }

// line is one line of a trace; the fields depend on the event.
type line struct {
	AtMs    int64           `json:"atMs"`
	Event   string          `json:"event"`
	Count   int             `json:"count"`
	Jobs    []model.JobID   `json:"jobs"`
	Workers []string        `json:"workers"`
	Rack    string          `json:"rack"`
	Service model.ServiceID `json:"service"`
	TailMs  int64           `json:"tailMs"`
	Load    float64         `json:"load"`

	Job              model.JobID  `json:"job"`
	Team             model.TeamID `json:"team"`
	Priority         string       `json:"priority"`
	Kind             string       `json:"kind"`
	Tasks            int          `json:"tasks"`
	MilliCPU         int64        `json:"milliCpu"`
	MemoryMB         int64        `json:"memoryMb"`
	Accelerators     int64        `json:"accelerators"`
	RunMs            int64        `json:"runMs"`
	UsesMilliCPU     int64        `json:"usesMilliCpu"`
	Slows            float64      `json:"slows"`
	Fails            bool         `json:"fails"`
	Drain            string       `json:"drain"`
	TailTargetMs     int64        `json:"tailTargetMs"`
	BatchShare       int          `json:"batchSharePercent"`
	GuardsOff        bool         `json:"guardsOff"`
	EndMs            int64        `json:"endMs"`
	Expect           *expect      `json:"expect"`
	QuotaMilliCPU    int64        `json:"quotaMilliCpu"`
	QuotaMemoryMB    int64        `json:"quotaMemoryMb"`
	QuotaAcclerators int64        `json:"quotaAccelerators"`
}

// expect is the expected outcome in a trace; absent fields are not checked.
type expect struct {
	Finished     *int                   `json:"finished"`
	Failed       *int                   `json:"failed"`
	Cancelled    *int                   `json:"cancelled"`
	MaxEvictions *int                   `json:"maxEvictions"`
	MaxAttempts  *int                   `json:"maxAttempts"`
	MaxTailMs    *int64                 `json:"maxTailMs"`
	Reasons      map[model.JobID]string `json:"reasons"`
}

// decoder collects the lines of a trace.
type decoder struct {
	name   string
	line   int
	preset model.PresetSpec
	events []trace.Event
	end    time.Duration
	expect trace.Expected
}

// Decode reads a trace in JSON Lines.
func Decode(name string, in io.Reader) (trace.Trace, error) {
	dec := &decoder{name: name, preset: model.PresetSpec{Name: "trace"}}
	dec.expect = (&expect{}).value()
	sca := bufio.NewScanner(in)
	sca.Buffer(nil, maxLine)
	for sca.Scan() {
		dec.line++
		if len(bytes.TrimSpace(sca.Bytes())) == 0 {
			continue
		}
		if err := dec.take(sca.Bytes()); err != nil {
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

func (dec *decoder) fault(cause string) error {
	return &LineError{name: dec.name, line: dec.line, cause: cause}
}

func (dec *decoder) take(buf []byte) error {
	var ln line
	jdec := json.NewDecoder(bytes.NewReader(buf))
	jdec.DisallowUnknownFields()
	if err := jdec.Decode(&ln); err != nil {
		return dec.fault("use one JSON object with the fields of the trace format: " + err.Error())
	}
	switch ln.Event {
	case "preset":
		return dec.takePreset(ln)
	case "expect":
		if ln.Expect == nil {
			return dec.fault("give expect")
		}
		dec.end, dec.expect = millis(ln.EndMs), ln.Expect.value()
		return nil
	}
	return dec.takeEvent(ln)
}

func (dec *decoder) takePreset(ln line) error {
	mode, ok := model.ParseDrainMode(ln.Drain)
	if !ok {
		return dec.fault("use drain finish or checkpoint")
	}
	dec.preset.Drain, dec.preset.BatchSharePercent, dec.preset.GuardsOff = mode, ln.BatchShare, ln.GuardsOff
	if ln.Service != "" {
		dec.preset.Services = append(dec.preset.Services, model.NewServicePolicy(ln.Service, millis(ln.TailTargetMs), 1))
	}
	if ln.Team != "" {
		lim := model.NewResources(ln.QuotaMilliCPU, ln.QuotaMemoryMB, ln.QuotaAcclerators)
		dec.preset.Quotas = append(dec.preset.Quotas, model.NewQuota(ln.Team, lim, 1))
	}
	return nil
}

func (dec *decoder) takeEvent(ln line) error {
	kind := trace.Kind(ln.Event)
	if !kind.Known() {
		return dec.fault("use a known event, not " + strconv.Quote(ln.Event))
	}
	size := model.NewResources(ln.MilliCPU, ln.MemoryMB, ln.Accelerators)
	spec := trace.EventSpec{
		At: millis(ln.AtMs), Kind: kind, Count: ln.Count, Size: size, Jobs: ln.Jobs, Rack: ln.Rack,
		Service: ln.Service, BaseTail: millis(ln.TailMs), Load: ln.Load,
	}
	if num := len(dec.events); num > 0 && spec.At < dec.events[num-1].At() {
		return dec.fault("give events in the order of atMs")
	}
	for _, id := range ln.Workers {
		spec.Workers = append(spec.Workers, model.WorkerID(id))
	}
	if kind == trace.Submit {
		pri, ok := model.ParsePriority(ln.Priority)
		if !ok {
			return dec.fault("use priority batch, service or urgent")
		}
		jo, err := sched.NewJob(sched.JobSpec{
			ID: ln.Job, Team: ln.Team, Priority: pri, Kind: ln.Kind, Tasks: ln.Tasks, Size: size, RunTime: millis(ln.RunMs),
		})
		if err != nil {
			return dec.fault(err.Error())
		}
		spec.Job = jo
		spec.Behaviour = trace.Behaviour{RunTime: millis(ln.RunMs), Slowdown: ln.Slows, AlwaysFails: ln.Fails}
		if ln.UsesMilliCPU > 0 {
			spec.Behaviour.Usage = model.NewResources(ln.UsesMilliCPU, ln.MemoryMB, ln.Accelerators)
		}
	}
	dec.events = append(dec.events, trace.NewEvent(spec))
	return nil
}

func (ex *expect) value() trace.Expected {
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
