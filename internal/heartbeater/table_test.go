package heartbeater

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

var testTiming = Timing{Interval: 200 * time.Millisecond, DeadAfter: time.Second, SettleAfter: time.Second, ForgetAfter: time.Minute}

// newReport returns report seq of host n, which started at the given time in ms.
func newReport(n int, dc identifier.DataCentre, started int64, seq uint64) Report {
	name := fmt.Sprint("e", n)
	return Report{
		Entry: identifier.Entry(name), DataCentre: dc, Address: fmt.Sprintf("10.0.0.%d:7301", n),
		Incarnation: identifier.Incarnation(fmt.Sprintf("%s-%d", name, started)), StartedMs: started, Seq: seq, Ready: true,
	}
}

func aliveNames(t *Table) []string {
	var out []string
	for _, r := range t.Alive() {
		out = append(out, string(r.Entry))
	}
	return out
}

// TestMembership checks when members become alive, own minions, count as dead, are replaced at
// their address, and lose their minions because they leave.
func TestMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(newReport(0, "a", 1, 0), testTiming, nil)
		receive := func(r Report) { table.Receive(Heartbeat{Reports: []Report{r}}) }
		receive(newReport(1, "a", 1, 1))
		receive(newReport(2, "b", 1, 1))
		if got := aliveNames(table); !slices.Equal(got, []string{"e1", "e2"}) {
			t.Errorf("alive %v after their first heartbeat", got)
		}
		if got := table.Settled(); !slices.Equal(got, []identifier.Entry{"e0"}) {
			t.Errorf("settled %v before SettleAfter has passed, want e0", got)
		}
		for seq := range 6 {
			time.Sleep(testTiming.Interval)
			receive(newReport(1, "a", 1, uint64(seq)+2))
		}
		if got := table.Settled(); !slices.Equal(got, []identifier.Entry{"e0", "e1"}) {
			t.Errorf("settled %v, want e0 and e1 of this data centre", got)
		}
		receive(newReport(1, "a", 1, 3))
		time.Sleep(testTiming.DeadAfter)
		if got := aliveNames(table); !slices.Equal(got, []string{"e2"}) {
			t.Errorf("alive %v after e1 sent nothing but an old report, want e2", got)
		}
		successor := newReport(3, "a", 9, 1)
		successor.Address = newReport(1, "a", 1, 1).Address
		receive(successor)
		time.Sleep(10 * time.Millisecond)
		receive(newReport(1, "a", 1, 99))
		if slices.Contains(aliveNames(table), "e1") && slices.Contains(aliveNames(table), "e3") {
			t.Errorf("alive %v: two hosts at one address", aliveNames(table))
		}
		leaving := newReport(3, "a", 9, 2)
		leaving.Leaving = true
		time.Sleep(2 * time.Second)
		receive(leaving)
		if slices.Contains(table.Settled(), "e3") {
			t.Error("a leaving member still owns minions")
		}
	})
}

// TestSuspensionDoesNotExpireMembers checks that a host that was suspended does not count its peers
// as dead until it has been running, and not hearing them, for DeadAfter.
func TestSuspensionDoesNotExpireMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(newReport(0, "a", 1, 0), testTiming, nil)
		table.Tick()
		table.Receive(Heartbeat{Reports: []Report{newReport(1, "a", 1, 1)}})
		time.Sleep(10 * testTiming.DeadAfter)
		if got := aliveNames(table); !slices.Equal(got, []string{"e1"}) {
			t.Errorf("alive %v before the first tick after the suspension, want e1", got)
		}
		table.Tick()
		if got := aliveNames(table); !slices.Equal(got, []string{"e1"}) {
			t.Errorf("alive %v after the first tick, want e1", got)
		}
		for range testTiming.DeadAfter / testTiming.Interval {
			time.Sleep(testTiming.Interval)
			table.Tick()
		}
		if got := aliveNames(table); len(got) > 0 {
			t.Errorf("alive %v after DeadAfter of running without heartbeats, want none", got)
		}
	})
}

// BenchmarkBeatBytes reports the size of heartbeats within a data centre and to another one; the
// latter carry the reports of all members.
func BenchmarkBeatBytes(b *testing.B) {
	for _, members := range []int{1, 3, 8} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			timing := testTiming
			timing.DeadAfter = time.Hour
			table := NewTable(newReport(0, "a", 1, 0), timing, nil)
			for i := 1; i < members; i++ {
				r := newReport(i, "a", 1, 1)
				r.Free = map[identifier.Service]int{"hire-desk": 100, "rake-desk": 50}
				table.Receive(Heartbeat{Reports: []Report{r}})
			}
			var local, remote []byte
			for range b.N {
				var err error
				if remote, err = json.Marshal(table.Heartbeat("b")); err != nil {
					b.Fatal(err)
				}
				if local, err = json.Marshal(table.Heartbeat("a")); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(remote)), "bytes/remote")
			b.ReportMetric(float64(len(local)), "bytes/local")
		})
	}
}
