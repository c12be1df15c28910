package flow

const (
	// idleTailPrior is the tail of an idle serving task, as a share of its target,
	// before any was read.
	idleTailPrior = 0.2
	// idleTailRatio is what the lowest reading of an image has above its floor:
	// tasks are never quite idle.
	idleTailRatio = 0.8
	// sensitivityPrior is the pressure of a filler that uses the whole worker on a
	// serving task, before any was read. It lets one filler in at a time.
	sensitivityPrior = 1.5
	// priorWeight is the weight of the prior, as a sum of squared shares: about
	// 50 readings beside a filler that uses a tenth of the worker outweigh it.
	priorWeight = 0.5
	// decayRate is what is kept of old readings in each solution; half is gone
	// in 35 s, because interference changes.
	decayRate = 0.99
	// descentRounds of the solution in each step; it starts from the last one.
	descentRounds = 3
	// maxPressure bounds the pressure that a tail tells.
	maxPressure = 0.97
)

// interference estimates how much fillers of one image press on serving tasks of
// another. A tail is that of a queue: the floor of its image divided by 1 less
// the pressure. The pressure is the load of the serving job, which all its
// tasks share, and what the fillers beside a task add: their share of the
// worker times the harm of the pair of images. The harm is a least squares
// estimate without negative values, with a prior for pairs that were not seen.
// The zero value knows nothing.
type interference struct {
	indexes map[string]int
	// idleTail has the tail of each idle image as a share of its target.
	idleTail []float64
	// harm[serving][filler] is the pressure of a filler per worker that it uses.
	sensitivity [][]float64
	// power[serving][filler][other] sums the products of the shares of two
	// fillers, cause[serving][filler] those of a share and the pressure.
	gram   [][][]float64
	moment [][]float64
}

// imageIndex returns the index of an image.
func (itf *interference) imageIndex(image string) int {
	if num, ok := itf.indexes[image]; ok {
		return num
	}
	if itf.indexes == nil {
		itf.indexes = map[string]int{}
	}
	num := len(itf.idleTail)
	itf.indexes[image] = num
	itf.idleTail = append(itf.idleTail, idleTailPrior)
	for i := range num {
		itf.sensitivity[i] = append(itf.sensitivity[i], sensitivityPrior)
		itf.moment[i] = append(itf.moment[i], 0)
		for j := range num {
			itf.gram[i][j] = append(itf.gram[i][j], 0)
		}
		itf.gram[i] = append(itf.gram[i], make([]float64, num+1))
	}
	row := make([]float64, num+1)
	for i := range row {
		row[i] = sensitivityPrior
	}
	itf.sensitivity = append(itf.sensitivity, row)
	itf.moment = append(itf.moment, make([]float64, num+1))
	square := make([][]float64, num+1)
	for i := range square {
		square[i] = make([]float64, num+1)
	}
	itf.gram = append(itf.gram, square)
	return num
}

// pressureOf returns the pressure that a tail tells, given as a share of its target.
func (itf *interference) pressureOf(serving int, tail float64) float64 {
	if tail <= 0 {
		return 0
	}
	itf.idleTail[serving] = min(itf.idleTail[serving], idleTailRatio*tail)
	return min(maxPressure, 1-itf.idleTail[serving]/tail)
}

// pressureAt returns the pressure at which the tail reaches the given share of its
// target.
func (itf *interference) pressureAt(serving int, tail float64) float64 {
	return max(0, 1-itf.idleTail[serving]/tail)
}

// addSample takes in by how much the pressure on one task of a serving image is above
// that on another, and the shares that fillers use beside the first less those
// beside the second, by image. The load that both have in common drops out.
func (itf *interference) addSample(serving int, added float64, uses []imageUse) {
	for _, us := range uses {
		itf.moment[serving][us.image] += us.share * added
		for _, other := range uses {
			itf.gram[serving][us.image][other.image] += us.share * other.share
		}
	}
}

// solve brings the estimates up to date with the readings.
func (itf *interference) solve() {
	for serving := range itf.sensitivity {
		for range descentRounds {
			itf.updateSensitivity(serving)
		}
		for i := range itf.moment[serving] {
			itf.moment[serving][i] *= decayRate
			for j := range itf.gram[serving][i] {
				itf.gram[serving][i][j] *= decayRate
			}
		}
	}
}

// updateSensitivity improves the estimate of each filler image with the others fixed.
func (itf *interference) updateSensitivity(serving int) {
	harm, power := itf.sensitivity[serving], itf.gram[serving]
	for i := range harm {
		rest := itf.moment[serving][i] + priorWeight*sensitivityPrior
		for j := range harm {
			if j != i {
				rest -= power[i][j] * harm[j]
			}
		}
		harm[i] = max(0, rest/(power[i][i]+priorWeight))
	}
}

// fillerPressure returns what fillers add to the pressure on a serving image.
func (itf *interference) fillerPressure(serving int, uses []imageUse) float64 {
	sum := 0.0
	for _, us := range uses {
		sum += itf.sensitivity[serving][us.image] * us.share
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
