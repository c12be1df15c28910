package flow

const (
	// basePrior is the tail of a serving task without fillers beside it, as a
	// share of its target, before any was read.
	basePrior = 0.4
	// harmPrior is the pressure that a filler which uses the whole worker puts
	// on a serving task before any was read. It lets one filler in at a time.
	harmPrior = 3.0
	// learnRate weighs a new reading against what was learned. Interference
	// changes within seconds.
	learnRate = 0.15
	// baseRate is the same for readings without fillers.
	baseRate = 0.05
	// usedLittle is the share of a worker below which the fillers on it say
	// nothing about their interference.
	usedLittle = 0.01
	// minPower keeps a reading beside small fillers from counting as much as
	// one beside large ones; it is the square of a share of a worker.
	minPower = 0.004
	// fadeRate is what an estimate loses in each sweep; half is gone in 14 s.
	fadeRate = 0.005
	// fullPressure bounds the pressure that a tail tells.
	fullPressure = 0.95
)

// pairs estimates how much fillers of one image disturb serving tasks of
// another. Interference is specific to the pair of images. A tail grows like
// that of a queue: it is the tail without fillers divided by 1 less the
// pressure, and the pressure is the sum over the fillers of their share of the
// worker times the harm of the pair. The zero value knows nothing.
type pairs struct {
	numbers map[string]int
	// base has the tail of each image without fillers as a share of the target,
	// harm[filler][serving] the pressure of a filler per worker that it uses.
	base []float64
	harm [][]float64
}

// number returns the index of an image.
func (pa *pairs) number(image string) int {
	if num, ok := pa.numbers[image]; ok {
		return num
	}
	if pa.numbers == nil {
		pa.numbers = map[string]int{}
	}
	num := len(pa.base)
	pa.numbers[image] = num
	pa.base = append(pa.base, basePrior)
	for i := range pa.harm {
		pa.harm[i] = append(pa.harm[i], harmPrior)
	}
	row := make([]float64, num+1)
	for i := range row {
		row[i] = harmPrior
	}
	pa.harm = append(pa.harm, row)
	return num
}

// pressureOf returns the pressure that a tail tells.
func (pa *pairs) pressureOf(serving int, tail float64) float64 {
	if tail <= pa.base[serving] {
		return 0
	}
	return min(fullPressure, 1-pa.base[serving]/tail)
}

// limit returns the pressure at which the tail reaches the given share of its
// target.
func (pa *pairs) limit(serving int, tail float64) float64 {
	return max(0, 1-pa.base[serving]/tail)
}

// fade lets high estimates return to the prior, so that a pair that is avoided
// is tried again.
func (pa *pairs) fade() {
	for _, row := range pa.harm {
		for i := range row {
			if row[i] > harmPrior {
				row[i] += fadeRate * (harmPrior - row[i])
			}
		}
	}
}

// learn takes in the tail of a serving task beside fillers that use the given
// shares of their worker, by image. It is a normalised least mean squares step.
func (pa *pairs) learn(serving int, tail float64, uses []imageUse) {
	power, all := minPower, 0.0
	for _, us := range uses {
		power += us.share * us.share
		all += us.share
	}
	if all < usedLittle {
		pa.base[serving] += baseRate * (min(tail, 1) - pa.base[serving])
		return
	}
	read, model := pa.pressureOf(serving, tail), pa.pressure(serving, uses)
	if read >= fullPressure && model >= fullPressure {
		return
	}
	for _, us := range uses {
		cell := &pa.harm[us.image][serving]
		*cell = max(0, *cell+learnRate*(read-model)*us.share/power)
	}
}

// pressure returns the pressure of fillers on a serving image.
func (pa *pairs) pressure(serving int, uses []imageUse) float64 {
	sum := 0.0
	for _, us := range uses {
		sum += pa.harm[us.image][serving] * us.share
	}
	return sum
}

// imageUse is the share of a worker that the fillers of one image use.
type imageUse struct {
	image int
	share float64
}

// addUse adds a share to the uses of an image.
func addUse(uses []imageUse, image int, share float64) []imageUse {
	for i := range uses {
		if uses[i].image == image {
			uses[i].share += share
			return uses
		}
	}
	return append(uses, imageUse{image: image, share: share})
}
