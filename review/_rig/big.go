package main

import (
	"math/rand/v2"
	"time"
)

func init() {
	cases["big"] = func(r *rig, x *rand.Rand) bool {
		r.minions(6, size{64000, 256000, 0})
		if !r.begin(3, "") {
			return false
		}
		var subs []*submission
		hand := func(s *submission) {
			if r.q.submit(r.j, r.hosts, s, 20) {
				subs = append(subs, s)
			}
		}
		n := []int{500, 1000, 2000, 3000}[x.IntN(4)]
		hand(r.sub("ms=2000", step{Count: n, CPU: 20, Mem: 20, EstimateMS: 2000, Gang: true}))
		hand(r.sub("lasts", step{Count: 3000, CPU: 10, Mem: 10, EstimateMS: 2000, LongRunning: true}))
		hand(r.sub("ms=500", step{Count: 4000, CPU: 50, Mem: 20, EstimateMS: 500}, step{Count: 50, CPU: 50, Mem: 20, EstimateMS: 500, Gang: true, After: []int{0}}))
		r.awaitState(subs[0], "completed", 20*time.Second)
		if r.trouble {
			for range 5 {
				if h := holderOf(r.s, r.hosts); h != nil {
					if x.IntN(2) == 0 {
						h.kill()
					} else {
						h.stop(6 * time.Second)
					}
					time.Sleep(time.Second)
					h.start()
				}
				hand(r.sub("ms=300", step{Count: 1000, CPU: 50, Mem: 20, EstimateMS: 300}))
				time.Sleep(time.Duration(x.Int64N(int64(6 * time.Second))))
			}
		}
		r.j.note("troubles are over")
		for _, s := range subs {
			want := "completed"
			if s.Spec == "lasts" {
				want = "running"
			}
			if !r.awaitState(s, want, 30*time.Second) {
				r.j.breach("LOST", "%s isn't %s", s.ID, want)
			}
			if want == "completed" {
				r.checkComplete(s)
			}
		}
		r.w.mu.Lock()
		n = r.j.running(subs[1].ID)
		r.w.mu.Unlock()
		r.j.note("%d lasting tasks run", n)
		if n < 3000 {
			r.j.breach("LOST", "%d lasting tasks run", n)
		}
		return true
	}
}
