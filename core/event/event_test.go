package event

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

// Guards against effects stamped before their causes: for any skew of the wall clocks
// of up to 5 s, a message is received at a higher stamp than it was sent, and the stamps
// of a VM only grow.
func TestStampsFollowCauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		skew := rapid.SliceOfN(rapid.Int64Range(-5000, 5000), 3, 3).Draw(t, "skew")
		clocks := make([]Stamp, len(skew))
		wall := int64(1_700_000_000_000)
		for range 50 {
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			wall += rapid.Int64Range(0, 3).Draw(t, "step")
			sent := clocks[from].Next(wall + skew[from])
			if sent <= clocks[from] {
				t.Fatalf("stamp %v follows %v on the same VM", sent, clocks[from])
			}
			clocks[from] = sent
			clocks[to] = clocks[to].Merge(sent, wall+skew[to])
			got := clocks[to].Next(wall + skew[to])
			if got <= sent {
				t.Fatalf("receive stamp is %v, send stamp %v", got, sent)
			}
			clocks[to] = got
		}
	})
}

// Guards against one VM whose clock is far ahead advancing the clocks of all other
// VMs, and against a counter overflow that does not advance the physical part.
func TestStampFarAheadIsIgnored(t *testing.T) {
	own := NewStamp(1000)
	if got := own.Merge(^Stamp(0), 1000); got != own {
		t.Errorf("clock moved to %v, want it unchanged", got)
	}
	if got := (NewStamp(7) | 0xFFFF).Next(7); got != NewStamp(8) {
		t.Errorf("overflow of the counter gives %v, want %v", got, NewStamp(8))
	}
}

// Guards against records that are skipped, repeated or lost without being counted
// when a reader continues from its position, and against skipping the records of
// a VM that was restarted in between.
func TestPagesContinue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lo := NewLog("a", 5, rapid.IntRange(1, 20).Draw(t, "capacity"))
		var pos Position
		var added, lastRead, lost uint64
		for range 30 {
			for range rapid.IntRange(0, 15).Draw(t, "burst") {
				added++
				lo.Step(0, Append{Stamp: Stamp(added), Event: New("x", Subject{})})
			}
			pa := lo.Page(pos, Filter{}, rapid.IntRange(1, 10).Draw(t, "limit"), Stamp(added))
			if pos == (Position{}) {
				lost = 0
				lastRead = pa.Next().Seq() - uint64(len(pa.Records()))
			}
			lost += pa.Lost()
			for _, rec := range pa.Records() {
				if want := lastRead + pa.Lost() + 1; rec.Seq() != want {
					t.Fatalf("got record %d, want %d", rec.Seq(), want)
				}
				lastRead++
			}
			lastRead += pa.Lost()
			pos = pa.Next()
			if pos.Seq() != lastRead {
				t.Fatalf("position is %d after reading record %d", pos.Seq(), lastRead)
			}
		}
		other := NewLog("a", 6, 4)
		other.Step(0, Append{Stamp: 1, Event: New("y", Subject{})})
		if pa := other.Page(pos, Filter{}, 0, 1); len(pa.Records()) != 1 || pa.Lost() != 0 {
			t.Fatalf("read %d records after a restart, %d lost, want 1 and 0", len(pa.Records()), pa.Lost())
		}
	})
}

// Guards against a wrong order of the records of several VMs: over all pages they
// are in the order of their stamps, none is missing and none is returned twice.
func TestMergerOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []model.VMID{"a", "b", "c"}
		logs := map[model.VMID]*Log{}
		for _, vm := range vms {
			logs[vm] = NewLog(vm, 1, 1000)
		}
		mer := NewMerger(vms...)
		wall := int64(1_000_000)
		var clock Stamp
		var want, got []Record
		for range 60 {
			wall += rapid.Int64Range(0, 80).Draw(t, "step")
			vm := rapid.SampledFrom(vms).Draw(t, "vm")
			if rapid.Bool().Draw(t, "note") {
				clock = clock.Next(wall)
				want = append(want, logs[vm].Step(0, Append{Stamp: clock, Event: New("x", Subject{})})...)
				continue
			}
			pa := logs[vm].Page(mer.Position(vm), Filter{}, rapid.IntRange(1, 5).Draw(t, "limit"), clock.Next(wall))
			got = append(got, mer.Add(pa)...)
			// A page that is added again must not return its records twice.
			got = append(got, mer.Add(pa)...)
		}
		for _, vm := range vms {
			got = append(got, mer.Add(logs[vm].Page(mer.Position(vm), Filter{}, MaxPageRecords, clock.Next(wall)))...)
		}
		got = append(got, mer.Flush()...)
		same := func(one, two Record) bool { return one.Compare(two) == 0 }
		if !slices.EqualFunc(got, want, same) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if all := Merge(got, want); !slices.EqualFunc(all, want, same) {
			t.Fatalf("merged %v, want %v", all, want)
		}
	})
}

// Guards against a filter that drops matching records or selects others.
func TestFilter(t *testing.T) {
	rec := NewRecord(9, "v1", 1, New("taskStarted", Subject{Task: "j/1", Worker: "w", Centre: "c", Request: "r", Backend: "b", VM: "v2"}))
	for _, tc := range []struct {
		fil  Filter
		want bool
	}{
		{Filter{}, true},
		{Filter{Job: "j", Task: "j/1", Worker: "w", Centre: "c", Request: "r", Backend: "b", VM: "v1", Kind: "taskStarted", Since: 9}, true},
		{Filter{VM: "v2"}, true},
		{Filter{VM: "v3"}, false},
		{Filter{Job: "i"}, false},
		{Filter{Task: "j/2"}, false},
		{Filter{Worker: "x"}, false},
		{Filter{Centre: "x"}, false},
		{Filter{Request: "x"}, false},
		{Filter{Backend: "x"}, false},
		{Filter{Since: 10}, false},
	} {
		if got := tc.fil.Matches(rec); got != tc.want {
			t.Errorf("filter %+v matches: %v, want the opposite", tc.fil, got)
		}
	}
}

// Guards against an event with long texts that does not fit into a message frame
// between VMs.
func TestRecordIsBounded(t *testing.T) {
	var fis []Field
	for i := range 100 {
		fis = append(fis, NewField("k"+strconv.Itoa(i), strings.Repeat("é", 5000)))
	}
	rec := (&Log{}).Step(0, Append{Event: New("x", Subject{Request: strings.Repeat("r", 1<<20)}, fis...)})[0]
	if size := rec.size(); size > maxFields*(maxTextBytes+16)+2*maxTextBytes {
		t.Errorf("record has %d bytes, more than its truncated texts need", size)
	}
}
