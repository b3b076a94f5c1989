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

var testTimes = Timing{Interval: 200 * time.Millisecond, DeadAfter: time.Second, SettleAfter: time.Second, ForgetAfter: time.Minute}

func report(n int, dc identifier.DataCentre, started int64, seq uint64) Report {
	name := fmt.Sprint("e", n)
	return Report{
		Entry: identifier.Entry(name), DataCentre: dc, Address: fmt.Sprintf("10.0.0.%d:7301", n),
		Incarnation: identifier.Incarnation(fmt.Sprintf("%s-%d", name, started)), StartedMs: started, Seq: seq, Ready: true,
	}
}

func names(t *Table) []string {
	var out []string
	for _, r := range t.Alive() {
		out = append(out, string(r.Entry))
	}
	return out
}

func TestMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(report(0, "a", 1, 0), testTimes, nil)
		beat := func(r Report) { table.Receive(Heartbeat{Reports: []Report{r}}) }
		beat(report(1, "a", 1, 1))
		beat(report(2, "b", 1, 1))
		if got := names(table); !slices.Equal(got, []string{"e1", "e2"}) {
			t.Errorf("alive %v after their first heartbeat", got)
		}
		if got := table.Settled(); !slices.Equal(got, []identifier.Entry{"e0"}) {
			t.Errorf("settled %v before the new member has settled", got)
		}
		for seq := range 6 {
			time.Sleep(testTimes.Interval)
			beat(report(1, "a", 1, uint64(seq)+2))
		}
		if got := table.Settled(); !slices.Equal(got, []identifier.Entry{"e0", "e1"}) {
			t.Errorf("settled %v, want e0 and e1 of this data centre", got)
		}
		beat(report(1, "a", 1, 3))
		time.Sleep(testTimes.DeadAfter)
		if got := names(table); !slices.Equal(got, []string{"e2"}) {
			t.Errorf("alive %v after e1 fell silent, an old report aside", got)
		}
		back := report(3, "a", 9, 1)
		back.Address = report(1, "a", 1, 1).Address
		beat(back)
		time.Sleep(10 * time.Millisecond)
		beat(report(1, "a", 1, 99))
		if slices.Contains(names(table), "e1") && slices.Contains(names(table), "e3") {
			t.Errorf("alive %v: two hosts at one address", names(table))
		}
		leaving := report(3, "a", 9, 2)
		leaving.Leaving = true
		time.Sleep(2 * time.Second)
		beat(leaving)
		if slices.Contains(table.Settled(), "e3") {
			t.Error("a leaving member still owns minions")
		}
	})
}

// TestSuspendedHost checks that a host which was suspended does not take its peers
// for dead before it could hear them.
func TestSuspendedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(report(0, "a", 1, 0), testTimes, nil)
		table.Tick()
		table.Receive(Heartbeat{Reports: []Report{report(1, "a", 1, 1)}})
		time.Sleep(10 * testTimes.DeadAfter)
		if got := names(table); !slices.Equal(got, []string{"e1"}) {
			t.Errorf("alive %v right after the suspension, want e1", got)
		}
		table.Tick()
		if got := names(table); !slices.Equal(got, []string{"e1"}) {
			t.Errorf("alive %v after the first tick, want e1", got)
		}
		for range testTimes.DeadAfter / testTimes.Interval {
			time.Sleep(testTimes.Interval)
			table.Tick()
		}
		if got := names(table); len(got) > 0 {
			t.Errorf("alive %v after a silence that was listened to, want none", got)
		}
	})
}

// BenchmarkBeatBytes reports the size of a heartbeat to another data centre,
// which carries the reports of all members of this one.
func BenchmarkBeatBytes(b *testing.B) {
	for _, members := range []int{1, 3, 8} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			times := testTimes
			times.DeadAfter = time.Hour
			table := NewTable(report(0, "a", 1, 0), times, nil)
			for i := 1; i < members; i++ {
				r := report(i, "a", 1, 1)
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
