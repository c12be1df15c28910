package flow

const (
	// idleTailPrior is the assumed tail latency of an idle serving task, as a
	// ratio of its target, before the first reading.
	idleTailPrior = 0.2
	// idleTailRatio is the assumed ratio of the idle tail of an image to its
	// lowest reading, since tasks are never completely idle.
	idleTailRatio = 0.8
	// sensitivityPrior is the assumed pressure of a filler that uses a whole
	// worker, before the first reading. It lets one filler in at a time.
	sensitivityPrior = 1.5
	// priorWeight is the weight of the prior, as a sum of squared shares: about
	// 50 readings beside a filler that uses a tenth of the worker outweigh it.
	priorWeight = 0.5
	// decayRate is the factor by which old readings fade at each solve, because
	// interference changes. Their weight halves in 35 s.
	decayRate = 0.99
	// descentRounds is the number of coordinate descent rounds of each solve,
	// which starts from the previous solution.
	descentRounds = 3
	// maxPressure bounds the pressure that is derived from a tail latency.
	maxPressure = 0.97
)

// interference estimates how much fillers of one image slow serving tasks of
// another. The tail latency of a serving task is modelled as that of a queue:
// the idle tail of its image divided by (1 - pressure). The pressure is the
// load of the serving job, which all its tasks share, plus the share of the
// worker that fillers beside the task use, times the sensitivity of the serving
// image to the filler image. The sensitivities are a non-negative least squares
// estimate, with a prior for pairs of images that were never seen together. The
// zero value has no images.
type interference struct {
	indexes map[string]int
	// idleTail is the tail latency of each idle image as a ratio of its target.
	idleTail []float64
	// sensitivity[serving][filler] is the pressure that a filler image puts on
	// a serving image per whole worker that the fillers use.
	sensitivity [][]float64
	// gram[serving][filler][other] and moment[serving][filler] are the normal
	// equations of the least squares estimate: the sums of the products of the
	// shares of two fillers, and of a share and the pressure.
	gram   [][][]float64
	moment [][]float64
}

// imageIndex returns the index of an image and registers a new image.
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
	matrix := make([][]float64, num+1)
	for i := range matrix {
		matrix[i] = make([]float64, num+1)
	}
	itf.gram = append(itf.gram, matrix)
	return num
}

// pressureOf returns the pressure that a tail latency implies, and lowers the
// idle tail of the image if needed. The tail is given as a ratio of its target.
func (itf *interference) pressureOf(serving int, tail float64) float64 {
	if tail <= 0 {
		return 0
	}
	itf.idleTail[serving] = min(itf.idleTail[serving], idleTailRatio*tail)
	return min(maxPressure, 1-itf.idleTail[serving]/tail)
}

// pressureAt returns the pressure at which the tail reaches the given ratio of
// its target.
func (itf *interference) pressureAt(serving int, tail float64) float64 {
	return max(0, 1-itf.idleTail[serving]/tail)
}

// addSample adds a comparison of two tasks of a serving image: the difference
// of the pressures on them, and the difference of the shares that fillers use
// beside them, by image. The load, which both tasks have in common, cancels
// out.
func (itf *interference) addSample(serving int, pressureDiff float64, shareDiffs []imageUse) {
	for _, us := range shareDiffs {
		itf.moment[serving][us.image] += us.share * pressureDiff
		for _, other := range shareDiffs {
			itf.gram[serving][us.image][other.image] += us.share * other.share
		}
	}
}

// solve updates the sensitivities from the samples and lets the samples fade.
func (itf *interference) solve() {
	for serving := range itf.sensitivity {
		for range descentRounds {
			itf.updateSensitivities(serving)
		}
		for i := range itf.moment[serving] {
			itf.moment[serving][i] *= decayRate
			for j := range itf.gram[serving][i] {
				itf.gram[serving][i][j] *= decayRate
			}
		}
	}
}

// updateSensitivities runs one coordinate descent round: it updates the
// sensitivity to each filler image with the others fixed.
func (itf *interference) updateSensitivities(serving int) {
	sens, gram := itf.sensitivity[serving], itf.gram[serving]
	for i := range sens {
		residual := itf.moment[serving][i] + priorWeight*sensitivityPrior
		for j := range sens {
			if j != i {
				residual -= gram[i][j] * sens[j]
			}
		}
		sens[i] = max(0, residual/(gram[i][i]+priorWeight))
	}
}

// fillerPressure returns the pressure that fillers add on tasks of a serving
// image.
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

// addUse adds a share to the use of an image and returns the extended list.
func addUse(uses []imageUse, image int, share float64) []imageUse {
	for i := range uses {
		if uses[i].image == image {
			uses[i].share += share
			return uses
		}
	}
	return append(uses, imageUse{image: image, share: share})
}
