package shell

import (
	"strconv"
	"strings"
	"time"

	"guavarail/io/rest"
)

// Int formats a whole number.
func Int[N ~int | ~int64 | ~uint32 | ~uint64](num N) string {
	if num < 0 {
		return strconv.FormatInt(int64(num), 10)
	}
	return strconv.FormatUint(uint64(num), 10)
}

// YesNo formats a bool as yes or no.
func YesNo(flag bool) string {
	if flag {
		return "yes"
	}
	return "no"
}

// Millis formats a duration that is given in milliseconds, such as "1.5s".
func Millis(num int64) string { return (time.Duration(num) * time.Millisecond).String() }

// Resources formats an amount of resources, such as "4 cpu, 8000 MB, 1 acc".
func Resources(re rest.Resources) string {
	out := strconv.FormatFloat(float64(re.MilliCPU)/1000, 'f', -1, 64) + " cpu, " + Int(re.MemoryMB) + " MB"
	if re.Accelerators > 0 {
		out += ", " + Int(re.Accelerators) + " acc"
	}
	return out
}

// ChangedBy formats the operator and the configuration number of a change, or a dash
// for nil.
func ChangedBy(ch *rest.Change) string {
	if ch == nil {
		return "-"
	}
	return ch.Operator + " (configuration " + Int(ch.Number) + ")"
}

// OrDash returns a dash for an empty text, and the text otherwise.
func OrDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// Timestamp formats a Unix time in milliseconds as UTC.
func Timestamp(millis int64) string {
	return time.UnixMilli(millis).UTC().Format("2006-01-02T15:04:05.000Z")
}

// List formats names as a comma-separated list, or a dash if there are none.
func List(names []string) string { return OrDash(strings.Join(names, ", ")) }
