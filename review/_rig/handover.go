package main

import (
	"math/rand/v2"
	"time"
)

func init() {
	cases["handover"] = func(r *rig, _ *rand.Rand) bool {
		r.minions(9, size{16000, 64000, 0})
		if !r.begin(5, "") {
			return false
		}
		l := r.sub("lasts", step{Count: 6, CPU: 2000, Mem: 2000, EstimateMS: 60000, LongRunning: true})
		r.q.submit(r.j, r.hosts, l, 3)
		for range 5 {
			time.Sleep(2 * time.Second)
			h := holderOf(r.s, r.hosts)
			var other *host
			for _, o := range r.hosts {
				if o != h {
					other = o
				}
			}
			go func() { h.stop(6 * time.Second); h.start() }()
			time.Sleep(10 * time.Millisecond)
			for range 4 {
				began := time.Now()
				status, state := r.q.state(r.j, other, l.ID)
				r.j.note("GET at %s: %d %s after %v", other.name, status, state, time.Since(began))
			}
			time.Sleep(7 * time.Second)
		}
		return true
	}
}
