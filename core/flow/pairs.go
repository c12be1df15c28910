package flow

const (
	// basePrior is the tail of a serving task without fillers beside it, as a
	// share of its target, before any was read.
	basePrior = 0.4
	// harmPrior is what a filler that uses the whole worker adds to the tail
	// of a serving task, as a share of its target, before any was read.
	harmPrior = 4.0
	// learnRate weighs a new reading against what was learned. Interference
	// changes within seconds.
	learnRate = 0.35
	// baseRate is the same for readings without fillers.
	baseRate = 0.05
	// usedLittle is the share of a worker below which the fillers on it say
	// nothing about their interference.
	usedLittle = 0.01
	// minPower keeps a reading beside small fillers from counting as much as
	// one beside large ones; it is the square of a share of a worker.
	minPower = 0.004
)

// pairs estimates how much fillers of one image disturb serving tasks of
// another. Interference is specific to the pair of images. The zero value knows
// nothing.
type pairs struct {
	numbers map[string]int
	// base has the tail of each image without fillers, harm[filler][serving]
	// what a filler adds per worker that it uses; both as shares of the target.
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

// learn takes in the tail of a serving task beside fillers that use the given
// shares of their worker, by image. It is a normalised least mean squares step.
func (pa *pairs) learn(serving int, tail float64, uses []imageUse) {
	sum, power, all := pa.base[serving], minPower, 0.0
	for _, us := range uses {
		sum += pa.harm[us.image][serving] * us.share
		power += us.share * us.share
		all += us.share
	}
	miss := tail - sum
	if all < usedLittle {
		pa.base[serving] += baseRate * miss
		return
	}
	for _, us := range uses {
		cell := &pa.harm[us.image][serving]
		*cell = max(0, *cell+learnRate*miss*us.share/power)
	}
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

// tailUnder returns the expected tail of a serving image beside fillers, as a
// share of its target.
func (pa *pairs) tailUnder(serving int, uses []imageUse) float64 {
	sum := pa.base[serving]
	for _, us := range uses {
		sum += pa.harm[us.image][serving] * us.share
	}
	return sum
}
