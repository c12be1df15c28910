package flow

const (
	// basePrior is the tail of a serving task without fillers beside it, as a
	// share of its target, before any was read.
	basePrior = 0.4
	// harmPrior is what a filler that uses the whole worker adds to the tail of
	// a serving task, as a share of its target, before any was read. It lets
	// one filler in at a time.
	harmPrior = 4.0
	// priorWeight is the weight of the prior, as a sum of squared shares: about
	// 50 readings beside a filler that uses a tenth of the worker outweigh it.
	priorWeight = 0.5
	// keepRate is what is kept of old readings in each solution; half is gone
	// in 35 s, because interference changes.
	keepRate = 0.99
	// rounds of the solution in each step; it starts from the last one.
	rounds = 3
	// baseRate weighs a new reading without fillers.
	baseRate = 0.02
	// usedLittle is the share of a worker below which the fillers on it say
	// nothing about their interference.
	usedLittle = 0.01
	// mostRead bounds a tail that is learned from, as a share of the target:
	// tails explode, and by how much says little.
	mostRead = 3.0
)

// pairs estimates how much fillers of one image add to the tail of serving
// tasks of another. Interference is specific to the pair of images. It is a
// least squares estimate without negative values, with a prior for pairs that
// were not seen. The zero value knows nothing.
type pairs struct {
	numbers map[string]int
	// base has the tail of each image without fillers as a share of the target.
	base []float64
	// harm[serving][filler] is what a filler adds per worker that it uses.
	harm [][]float64
	// power[serving][filler][other] sums the products of the shares of two
	// fillers, cause[serving][filler] those of a share and the tail it adds.
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
	num := len(pa.base)
	pa.numbers[image] = num
	pa.base = append(pa.base, basePrior)
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

// learn takes in the tail of a serving task beside fillers that use the given
// shares of their worker, by image.
func (pa *pairs) learn(serving int, tail float64, uses []imageUse) {
	all := 0.0
	for _, us := range uses {
		all += us.share
	}
	if all < usedLittle {
		pa.base[serving] += baseRate * (min(tail, 1) - pa.base[serving])
		return
	}
	added := min(tail, mostRead) - pa.base[serving]
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

// tail returns the tail to expect of a serving image beside fillers, as a share
// of its target.
func (pa *pairs) tail(serving int, uses []imageUse) float64 {
	sum := pa.base[serving]
	for _, us := range uses {
		sum += pa.harm[serving][us.image] * us.share
	}
	return sum
}

// excess returns the share of the use of fillers that must go for a tail to
// reach a goal. A tail grows like that of a queue: it is the tail without
// fillers divided by 1 less a pressure that is in proportion to the use.
func (pa *pairs) excess(serving int, tail, goal float64) float64 {
	base := pa.base[serving]
	if tail <= max(base, goal) {
		return 0
	}
	return 1 - max(0, 1-base/goal)/(1-base/tail)
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
