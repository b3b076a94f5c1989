package main

import (
	"math/rand/v2"
	"net/http"
	"time"
)

func init() {
	cases["schedule"] = func(r *rig, _ *rand.Rand) bool {
		r.minions(9, size{16000, 64000, 0})
		if !r.begin(3, "") {
			return false
		}
		l := r.sub("lasts", step{Count: 6, CPU: 2000, Mem: 2000, EstimateMS: 60000, LongRunning: true})
		r.q.submit(r.j, r.hosts, l, 3)
		if r.trouble {
			for range 3 {
				t := r.sub("ms=100", step{Count: 1, CPU: 1000, Mem: 500, EstimateMS: 100})
				t.FirstRunMS, t.PeriodMS, t.RepeatCount = time.Now().UnixMilli()-20000*1000, 1000, 10000
				r.q.submit(r.j, r.hosts, t, 3)
			}
		}
		for range 20 {
			time.Sleep(time.Second)
			s := r.sub("ms=100", step{Count: 1, CPU: 1000, Mem: 500, EstimateMS: 100})
			r.q.submit(r.j, r.hosts, s, 1)
			began := time.Now()
			status, state := r.q.state(r.j, r.hosts[1], s.ID)
			r.j.note("GET %s: %d %s after %v", s.ID, status, state, time.Since(began))
			r.w.mu.Lock()
			r.j.note("lasting: %d run", r.j.running(l.ID))
			r.w.mu.Unlock()
		}
		return true
	}
	cases["smaller"] = func(r *rig, _ *rand.Rand) bool {
		r.minions(3, size{16000, 64000, 0})
		if !r.begin(3, "") {
			return false
		}
		for range 30 {
			s := r.sub("ms=1500", step{Count: 2, CPU: 8000, Mem: 4000, EstimateMS: 1500})
			r.q.submit(r.j, r.hosts, s, 1)
		}
		time.Sleep(2 * time.Second)
		m := r.w.minions[1]
		if r.trouble {
			m.crash()
			time.Sleep(2 * time.Second)
			m.restart(size{4000, 16000, 0}, 0)
		}
		time.Sleep(5 * time.Second)
		return true
	}
}

var _ = http.MethodGet
