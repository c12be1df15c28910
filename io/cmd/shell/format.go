package shell

import (
	"strconv"
	"strings"
	"time"

	"guavarail/io/rest"
)

// Int prints a whole number.
func Int[N ~int | ~int64 | ~uint32 | ~uint64](num N) string {
	if num < 0 {
		return strconv.FormatInt(int64(num), 10)
	}
	return strconv.FormatUint(uint64(num), 10)
}

// YesNo prints a flag.
func YesNo(flag bool) string {
	if flag {
		return "yes"
	}
	return "no"
}

// Millis prints a duration in milliseconds.
func Millis(num int64) string { return (time.Duration(num) * time.Millisecond).String() }

// Resources prints an amount, such as "4 cpu, 8000 MB, 1 acc".
func Resources(re rest.Resources) string {
	out := strconv.FormatFloat(float64(re.MilliCPU)/1000, 'f', -1, 64) + " cpu, " + Int(re.MemoryMB) + " MB"
	if re.Accelerators > 0 {
		out += ", " + Int(re.Accelerators) + " acc"
	}
	return out
}

// ChangedBy prints who made a change.
func ChangedBy(ch *rest.Change) string {
	if ch == nil {
		return "-"
	}
	return ch.Operator + " (configuration " + Int(ch.Number) + ")"
}

// OrDash prints a dash for an empty text.
func OrDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// Timestamp prints a time in UTC with milliseconds.
func Timestamp(millis int64) string {
	return time.UnixMilli(millis).UTC().Format("2006-01-02T15:04:05.000Z")
}

// List prints names separated by commas.
func List(names []string) string { return OrDash(strings.Join(names, ", ")) }
