package shed

const (
	// sizeWeight is the weight of a new job in the mean of its kind, and quantileStep by
	// how much it moves a quantile, relative to the mean.
	sizeWeight   = 0.02
	quantileStep = 0.05
	// minLarge and minLargest are the least work of these classes, relative to the mean, so
	// that jobs of about the same size are of one class.
	minLarge, minLargest = 1.2, 1.5
	// firstLarge and firstLargest are the first estimates of the quantiles, relative to
	// the mean.
	firstLarge, firstLargest = 1.2, 2.0
	// largePart and largestPart are the parts of the jobs below the classes.
	largePart, largestPart = 0.7, 0.9
)

// sizes learns how the work of the jobs of a kind is distributed. The zero value has seen
// none.
type sizes struct {
	jobs int
	mean float64
	// large and largest are the amounts of work, relative to the mean, that seven and
	// nine tenths of the jobs do not exceed.
	large, largest float64
}

// classify returns the class of a job with some work, and learns from it.
func (si *sizes) classify(work float64) Class {
	if si.jobs == 0 {
		si.mean, si.large, si.largest = work, firstLarge, firstLargest
	}
	si.jobs++
	si.mean += max(sizeWeight, 1/float64(si.jobs)) * (work - si.mean)
	ratio := work / max(si.mean, 0.001)
	class := Usual
	switch {
	case ratio > max(si.largest, minLargest):
		class = Largest
	case ratio > max(si.large, minLarge):
		class = Large
	}
	si.large = moveQuantile(si.large, ratio, largePart)
	si.largest = max(si.large, moveQuantile(si.largest, ratio, largestPart))
	return class
}

// moveQuantile moves the estimate of a quantile by one sample.
func moveQuantile(est, sample, part float64) float64 {
	if sample > est {
		return est + quantileStep*part
	}
	return max(0, est-quantileStep*(1-part))
}
