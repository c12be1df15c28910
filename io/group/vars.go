package group

import "guavarail/io/meter"

// entriesSkipped counts the committed entries that could not be decoded and have no effect,
// by group, at /debug/vars of the metrics address.
var entriesSkipped = meter.NewCounters("groupEntriesSkipped")
