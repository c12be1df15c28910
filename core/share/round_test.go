package share

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

func drawAmount(tt *rapid.T, label string) model.Resources {
	draw := func() int64 { return rapid.Int64Range(0, 50).Draw(tt, label) }
	return model.NewResources(draw(), draw(), draw())
}

// Guards against a round that lets a customer exceed its quota, or refuses what fits, after
// any sequence of starts, ends and kept quota.
func TestRoundKeepsQuotas(t *testing.T) {
	rapid.Check(t, func(tt *rapid.T) {
		limit := drawAmount(tt, "quota")
		recorded := drawAmount(tt, "recorded")
		var accounts Accounts[int]
		accounts.Add(1, recorded, false)
		ro := NewRound[string](map[int]Terms{1: NewTerms(1, limit)}, &accounts)
		seats := []*Seat{ro.Seat("a", 1), ro.Seat("b", 1)}
		used := [3]int64{recorded.MilliCPU(), recorded.MemoryMB(), recorded.Accelerators()}
		for range rapid.IntRange(0, 30).Draw(tt, "steps") {
			size := drawAmount(tt, "size")
			se := seats[rapid.IntRange(0, 1).Draw(tt, "seat")]
			parts := [3]int64{size.MilliCPU(), size.MemoryMB(), size.Accelerators()}
			fits := true
			for i, most := range [3]int64{limit.MilliCPU(), limit.MemoryMB(), limit.Accelerators()} {
				fits = fits && (most == 0 || used[i]+parts[i] <= most)
			}
			if se.FitsQuota(size) != fits || se.Allows(size) && !fits {
				tt.Fatalf("used %v, quota %v, size %v: allowed %v, want %v", used, limit, size, se.FitsQuota(size), fits)
			}
			switch {
			case !fits:
				se.Hold(size)
			case rapid.Bool().Draw(tt, "start"):
				se.Charge(size, size)
				for i := range used {
					used[i] += parts[i]
				}
			}
		}
	})
}

// Guards against a fair level that gives out more or less than the capacity, or less to one
// than to another who gets more by weight, or that isn't a number for extreme weights.
func TestFairLevelIsMaxMin(t *testing.T) {
	rapid.Check(t, func(tt *rapid.T) {
		demands := rapid.SliceOfN(rapid.Custom(func(tt *rapid.T) demand {
			return demand{asked: rapid.Float64Range(0, 2).Draw(tt, "asked"), weight: rapid.Float64Range(0.01, 100).Draw(tt, "weight")}
		}), 0, 40).Draw(tt, "demands")
		sum := 0.0
		for _, de := range demands {
			sum += de.asked
		}
		level := fairLevel(demands)
		if math.IsInf(level, 1) {
			if sum > 1.0001 {
				tt.Fatalf("no level for a sum of %v", sum)
			}
			return
		}
		given := 0.0
		for _, de := range demands {
			given += min(de.asked, level*de.weight)
		}
		if math.Abs(given-1) > 1e-6 {
			tt.Fatalf("level %v gives out %v", level, given)
		}
	})
}

// FuzzFairLevel guards against a level that is no number or negative, whatever the weights.
func FuzzFairLevel(f *testing.F) {
	f.Add(0.5, 1.0, 0.7, 16.0, 1.0, 5e-324)
	f.Add(0.5, math.MaxFloat64, 0.7, math.MaxFloat64, 0.0, 1.0)
	f.Fuzz(func(t *testing.T, askedA, weightA, askedB, weightB, askedC, weightC float64) {
		var demands []demand
		for _, de := range []demand{{askedA, weightA}, {askedB, weightB}, {askedC, weightC}} {
			if !(de.asked >= 0 && de.asked <= 1e9 && NewTerms(de.weight, model.Resources{}).Valid()) {
				return
			}
			de.weight = NewTerms(de.weight, model.Resources{}).Weight()
			demands = append(demands, de)
		}
		if level := fairLevel(demands); math.IsNaN(level) || level < 0 {
			t.Errorf("level %v of %v", level, demands)
		}
	})
}
