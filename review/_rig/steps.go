package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() {
	cases["steps"] = func(r *rig, x *rand.Rand) bool {
		r.minions(12, size{16000, 64000, 0})
		if !r.begin(3, "") {
			return false
		}
		l := r.sub("lasts", step{Count: 20, CPU: 500, Mem: 500, EstimateMS: 60000, LongRunning: true})
		r.q.submit(r.j, r.hosts, l, 3)
		time.Sleep(time.Second)
		if r.trouble {
			for i := range 300 {
				var steps []step
				for k := range 256 {
					st := step{Count: 1, CPU: int64(1000 + k), Mem: 500, EstimateMS: 100, RequiredLabel: fmt.Sprintf("zz%d", k), MaxPerServer: 1}
					steps = append(steps, st)
				}
				s := r.sub("ms=100", steps...)
				r.q.submit(r.j, r.hosts, s, 1)
				if i%20 == 0 {
					began := time.Now()
					status, state := r.q.state(r.j, r.hosts[1], l.ID)
					r.j.note("%d: GET %d %s after %v", i, status, state, time.Since(began))
					for _, h := range r.hosts {
						r.j.note("%d: %s has %d MB", i, h.name, h.memory())
					}
				}
			}
		}
		for range 15 {
			time.Sleep(time.Second)
			s := r.sub("ms=100", step{Count: 1, CPU: 1000, Mem: 500, EstimateMS: 100})
			r.q.submit(r.j, r.hosts, s, 1)
			began := time.Now()
			status, state := r.q.state(r.j, r.hosts[1], s.ID)
			r.w.mu.Lock()
			r.j.note("GET %s: %d %s after %v; %d lasting", s.ID, status, state, time.Since(began), r.j.running(l.ID))
			r.w.mu.Unlock()
		}
		return true
	}
}
