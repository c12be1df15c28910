package shed

import "cmp"

// entry is an accepted job.
type entry struct {
	job *Job
	// filler is set if any step of the job consists of fillers.
	filler bool
	// end is when it is expected to end, in seconds, and known is set if that is known.
	end   float64
	known bool
	// margin is the work in processor seconds that may come before it without making
	// it late; negative if it is late anyway.
	margin float64
}

// addition is a job that was accepted since the forecast was made.
type addition struct {
	entry
	taken room
}

// compare orders entries as the scheduler orders their jobs. Fillers come after all others,
// since they use what the others leave.
func (en *entry) compare(other *entry) int {
	switch {
	case en.filler != other.filler:
		return falseFirst(en.filler, other.filler)
	case en.job.Priority != other.job.Priority:
		return cmp.Compare(en.job.Priority, other.job.Priority)
	case en.job.Late != other.job.Late:
		return falseFirst(en.job.Late, other.job.Late)
	}
	return cmp.Compare(en.job.Rank, other.job.Rank)
}

// falseFirst compares two booleans and orders false before true.
func falseFirst(va, vb bool) int {
	switch {
	case va == vb:
		return 0
	case vb:
		return -1
	}
	return 1
}
