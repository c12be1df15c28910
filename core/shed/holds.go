package shed

// holds sums up what runs hold until they end. The zero value has none.
type holds struct {
	// until has what the runs that end in a span hold before it, and within what they hold
	// in it on average. The last element of until has the runs that do not end before the
	// horizon.
	until  [spanCount + 1]held
	within [spanCount]held
}

// held is an amount that runs hold, in thousandths of a processor and megabytes.
type held struct{ cpu, memory, fillers float64 }

// add adds a fraction of an amount.
func (he *held) add(other held, part float64) {
	he.cpu += part * other.cpu
	he.memory += part * other.memory
	he.fillers += part * other.fillers
}

// add adds a run that ends after a time in seconds.
func (ho *holds) add(until float64, ru *Run) {
	num := float64(ru.Count)
	hd := held{cpu: num * float64(ru.Size.MilliCPU()), memory: num * float64(ru.Size.MemoryMB())}
	if ru.Filler {
		hd.cpu, hd.fillers = 0, hd.cpu
	}
	span := spanAt(until)
	ho.until[span].add(hd, 1)
	if span < spanCount {
		ho.within[span].add(hd, (until-spanStarts[span])/(spanStarts[span+1]-spanStarts[span]))
	}
}

// takeFrom takes what the runs hold from a room.
func (ho *holds) takeFrom(ro *room) {
	sum := ho.until[spanCount]
	for i := spanCount - 1; i >= 0; i-- {
		now := sum
		now.add(ho.within[i], 1)
		ro.cpu[i] -= float32(now.cpu)
		ro.idle[i] -= float32(now.cpu + now.fillers)
		ro.memory[i] -= float32(now.memory)
		sum.add(ho.until[i], 1)
	}
}
