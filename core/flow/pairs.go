package flow

const (
	// floorPrior is the tail of an idle serving task, as a share of its target,
	// before any was read.
	floorPrior = 0.2
	// floorShare is what the lowest reading of an image has above its floor:
	// tasks are never quite idle.
	floorShare = 0.8
	// harmPrior is the pressure of a filler that uses the whole worker on a
	// serving task, before any was read. It lets one filler in at a time.
	harmPrior = 1.5
	// priorWeight is the weight of the prior, as a sum of squared shares: about
	// 50 readings beside a filler that uses a tenth of the worker outweigh it.
	priorWeight = 0.5
	// keepRate is what is kept of old readings in each solution; half is gone
	// in 35 s, because interference changes.
	keepRate = 0.99
	// rounds of the solution in each step; it starts from the last one.
	rounds = 3
	// fullPressure bounds the pressure that a tail tells.
	fullPressure = 0.97
)

// pairs estimates how much fillers of one image press on serving tasks of
// another. A tail is that of a queue: the floor of its image divided by 1 less
// the pressure. The pressure is the load of the serving job, which all its
// tasks share, and what the fillers beside a task add: their share of the
// worker times the harm of the pair of images. The harm is a least squares
// estimate without negative values, with a prior for pairs that were not seen.
// The zero value knows nothing.
type pairs struct {
	numbers map[string]int
	// floor has the tail of each idle image as a share of its target.
	floor []float64
	// harm[serving][filler] is the pressure of a filler per worker that it uses.
	harm [][]float64
	// power[serving][filler][other] sums the products of the shares of two
	// fillers, cause[serving][filler] those of a share and the pressure.
	power [][][]float64
	cause [][]float64
}

// number returns the index of an image.
func (pa *pairs) number(image string) int {
	if num, ok := pa.numbers[image]; ok {
		return num
	}
	if pa.numbers == nil {
		pa.numbers = map[string]int{}
	}
	num := len(pa.floor)
	pa.numbers[image] = num
	pa.floor = append(pa.floor, floorPrior)
	for i := range num {
		pa.harm[i] = append(pa.harm[i], harmPrior)
		pa.cause[i] = append(pa.cause[i], 0)
		for j := range num {
			pa.power[i][j] = append(pa.power[i][j], 0)
		}
		pa.power[i] = append(pa.power[i], make([]float64, num+1))
	}
	row := make([]float64, num+1)
	for i := range row {
		row[i] = harmPrior
	}
	pa.harm = append(pa.harm, row)
	pa.cause = append(pa.cause, make([]float64, num+1))
	square := make([][]float64, num+1)
	for i := range square {
		square[i] = make([]float64, num+1)
	}
	pa.power = append(pa.power, square)
	return num
}

// read returns the pressure that a tail tells, given as a share of its target.
func (pa *pairs) read(serving int, tail float64) float64 {
	if tail <= 0 {
		return 0
	}
	pa.floor[serving] = min(pa.floor[serving], floorShare*tail)
	return min(fullPressure, 1-pa.floor[serving]/tail)
}

// limit returns the pressure at which the tail reaches the given share of its
// target.
func (pa *pairs) limit(serving int, tail float64) float64 {
	return max(0, 1-pa.floor[serving]/tail)
}

// learn takes in by how much the pressure on one task of a serving image is above
// that on another, and the shares that fillers use beside the first less those
// beside the second, by image. The load that both have in common drops out.
func (pa *pairs) learn(serving int, added float64, uses []imageUse) {
	for _, us := range uses {
		pa.cause[serving][us.image] += us.share * added
		for _, other := range uses {
			pa.power[serving][us.image][other.image] += us.share * other.share
		}
	}
}

// solve brings the estimates up to date with the readings.
func (pa *pairs) solve() {
	for serving := range pa.harm {
		for range rounds {
			pa.descend(serving)
		}
		for i := range pa.cause[serving] {
			pa.cause[serving][i] *= keepRate
			for j := range pa.power[serving][i] {
				pa.power[serving][i][j] *= keepRate
			}
		}
	}
}

// descend improves the estimate of each filler image with the others fixed.
func (pa *pairs) descend(serving int) {
	harm, power := pa.harm[serving], pa.power[serving]
	for i := range harm {
		rest := pa.cause[serving][i] + priorWeight*harmPrior
		for j := range harm {
			if j != i {
				rest -= power[i][j] * harm[j]
			}
		}
		harm[i] = max(0, rest/(power[i][i]+priorWeight))
	}
}

// pressure returns what fillers add to the pressure on a serving image.
func (pa *pairs) pressure(serving int, uses []imageUse) float64 {
	sum := 0.0
	for _, us := range uses {
		sum += pa.harm[serving][us.image] * us.share
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
