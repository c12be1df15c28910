package shed

const (
	// spanCount is the number of spans, the parts of the time ahead. Near ones are short,
	// since objectives of a few seconds are decided there, and far ones are long.
	spanCount = 72
	// firstSpan is the length of the first shortSpans spans, in seconds.
	firstSpan  = 0.125
	shortSpans = 24
	// spanGrowth makes the last span end after 4.5 minutes.
	spanGrowth = 1.12
)

// spanStarts holds where each span starts, in seconds from now, and where the last
// one ends.
var spanStarts = newSpanStarts()

func newSpanStarts() [spanCount + 1]float64 {
	var out [spanCount + 1]float64
	length := firstSpan
	for i := range spanCount {
		if i >= shortSpans {
			length *= spanGrowth
		}
		out[i+1] = out[i] + length
	}
	return out
}

// horizon is the time ahead that the forecast covers, in seconds.
var horizon = spanStarts[spanCount]

// levels holds an amount for each span.
type levels [spanCount]float32

// spanAt returns the span that contains a time in seconds, and spanCount beyond the
// horizon.
func spanAt(at float64) int {
	if at < shortSpans*firstSpan {
		return max(0, int(at/firstSpan))
	}
	low, high := shortSpans, spanCount
	for low < high {
		mid := (low + high) / 2
		if spanStarts[mid+1] <= at {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}
