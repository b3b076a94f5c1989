package main

import (
	"math/rand/v2"
	"strings"
	"time"
)

const (
	shortStatusS = 20
	// forgotten is how long after its end a submission may be forgotten: status_s and some time for it.
	forgotten = (shortStatusS + 20) * time.Second
	applyTime = 2 * time.Second
)

func init() {
	// A queue gets another name, and a request for a submission that is done comes again. When all is
	// forgotten, the holder is stopped in order.
	cases["renamed"] = func(r *rig, _ *rand.Rand) bool {
		statusS = shortStatusS
		r.minions(6, size{16000, 64000, 0})
		if !r.begin(3, "") {
			return false
		}
		var subs []*submission
		for range 8 {
			s := r.sub("ms=300", step{Count: 3, CPU: 1000, Mem: 500, EstimateMS: 300})
			if !r.q.submit(r.j, r.hosts, s, 8) {
				return false
			}
			subs = append(subs, s)
		}
		for _, s := range subs {
			if !r.awaitState(s, "completed", 10*time.Second) {
				return false
			}
		}
		if r.trouble {
			r.q.name = "r-73d3zji"
			r.publish(func(route map[string]any) { route["name"] = r.q.name })
		}
		time.Sleep(2 * applyTime)
		for _, s := range subs {
			r.q.submit(r.j, r.hosts, s, 8)
		}
		ended := time.Now()
		time.Sleep(forgotten)
		for _, s := range subs {
			status, state := r.q.state(r.j, r.hosts[0], s.ID)
			r.j.note("%s: %d %s", s.ID, status, state)
		}
		for _, h := range r.hosts {
			if strings.Contains(r.s.holder(), h.name) {
				r.j.note("%.0f s after the last request %s is stopped in order", time.Since(ended).Seconds(), h.name)
				h.stop(grace)
				time.Sleep(restartTime)
				h.start()
				break
			}
		}
		time.Sleep(6 * time.Second)
		for _, s := range subs {
			status, state := r.q.state(r.j, r.hosts[0], s.ID)
			r.j.note("%s: %d %s", s.ID, status, state)
		}
		return true
	}
}
