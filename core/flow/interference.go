package flow

const (
	// The terms are explained at the type interference. Tail ratios are ratios
	// of a tail latency to its target.
	//
	// idleTailRatioPrior is the assumed tail ratio of an idle serving task
	// before the first reading.
	idleTailRatioPrior = 0.2
	// idleTailCorrection is the assumed ratio of the tail latency of an idle
	// task to the lowest reading, since tasks are never completely idle.
	idleTailCorrection = 0.8
	// sensitivityPrior is the assumed sensitivity before the first reading. With
	// idleTailRatioPrior and loadPrior, it lets fillers that request at most a
	// quarter of the worker start beside a serving task, usually one at a time.
	sensitivityPrior = 1.5
	// priorWeight is the weight of sensitivityPrior, as a sum of squared uses:
	// about 50 readings beside a filler with a use of 0.1 outweigh it.
	priorWeight = 0.5
	// sampleDecay is the factor by which each call of solve reduces the weight
	// of earlier samples, because interference changes. With one call per
	// estimateInterval, half a second, the weight halves in 35 s.
	sampleDecay = 0.99
	// descentRounds is the number of coordinate descent rounds in each call of
	// solve, which starts from the previous solution.
	descentRounds = 3
	// maxPressure bounds the pressure that is derived from a tail latency, and
	// the predicted load.
	maxPressure = 0.97
)

// interference estimates how much fillers of one image slow serving tasks of
// another. The tail latency of a serving task is modelled as that of a queue:
// the tail latency of an idle task of its image divided by (1 - pressure). The
// pressure is the load of the serving job, which all its tasks share, plus, for
// each filler on the worker, its use times the sensitivity of the serving image
// to the filler image. The sensitivities are a non-negative least squares
// estimate, with a prior for pairs of images that were never on one worker. The
// zero value has no images.
type interference struct {
	// indexes holds the index of each image, by name.
	indexes map[string]int
	// idleTailRatio is, for each image, the tail ratio of an idle task.
	idleTailRatio []float64
	// sensitivity[serving][filler] is the pressure that fillers of an image add
	// on serving tasks of an image at a use of 1. Both indexes are those of
	// imageIndex; every image has a row and a column, whether its tasks are
	// serving tasks or fillers.
	sensitivity [][]float64
	// gram[serving][filler][other] and moment[serving][filler] are the normal
	// equations of the least squares estimate: the weighted sums, over the
	// samples, of the products of the uses of two filler images, and of a use
	// and the pressure.
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
	num := len(itf.idleTailRatio)
	itf.indexes[image] = num
	itf.idleTailRatio = append(itf.idleTailRatio, idleTailRatioPrior)
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

// pressureOf returns the pressure at which the tail latency of a serving image
// has the given ratio to its target, 0 if there is no reading. It lowers
// idleTailRatio of the image if needed.
func (itf *interference) pressureOf(serving int, tailRatio float64) float64 {
	if tailRatio <= 0 {
		return 0
	}
	itf.idleTailRatio[serving] = min(itf.idleTailRatio[serving], idleTailCorrection*tailRatio)
	return min(maxPressure, 1-itf.idleTailRatio[serving]/tailRatio)
}

// pressureAt returns the pressure at which the tail latency of a serving image
// reaches the given ratio to its target. It changes no estimate.
func (itf *interference) pressureAt(serving int, tailRatio float64) float64 {
	return max(0, 1-itf.idleTailRatio[serving]/tailRatio)
}

// addSample adds a comparison of two tasks of a serving image: the difference
// of the pressures on them, and the difference of the uses of the fillers on
// their workers, by image. The load, which both tasks have in common, cancels
// out.
func (itf *interference) addSample(serving int, pressureDiff float64, useDiffs []imageUse) {
	for _, us := range useDiffs {
		itf.moment[serving][us.image] += us.fraction * pressureDiff
		for _, other := range useDiffs {
			itf.gram[serving][us.image][other.image] += us.fraction * other.fraction
		}
	}
}

// solve updates the sensitivities from the samples and then reduces the weight
// of the samples by sampleDecay.
func (itf *interference) solve() {
	for serving := range itf.sensitivity {
		for range descentRounds {
			itf.updateSensitivities(serving)
		}
		for i := range itf.moment[serving] {
			itf.moment[serving][i] *= sampleDecay
			for j := range itf.gram[serving][i] {
				itf.gram[serving][i][j] *= sampleDecay
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
		sum += itf.sensitivity[serving][us.image] * us.fraction
	}
	return sum
}

// imageUse is the use of the fillers of one image on a worker. In the difference
// of two workers, the fraction may be negative.
type imageUse struct {
	// image is an index from interference.imageIndex.
	image    int
	fraction float64
}

// addUse adds a fraction to the use of an image, extends the list if it lacks
// the image, and returns it.
func addUse(uses []imageUse, image int, fraction float64) []imageUse {
	for i := range uses {
		if uses[i].image == image {
			uses[i].fraction += fraction
			return uses
		}
	}
	return append(uses, imageUse{image: image, fraction: fraction})
}
