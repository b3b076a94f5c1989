package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// fleet is large enough for two cells.
	fleet     = 1000
	lostShare = 0.14
	// silentReports is after how many reports that are missing the platform removes an entry.
	silentReports = 3
)

// idIn changes the ID of a submission until it belongs to a cell of two.
func (r *rig) idIn(cell identifier.Cell, s *submission) *submission {
	for n := 0; identifier.CellOf(identifier.Job(s.ID), 2) != cell; n++ {
		s.ID = fmt.Sprintf("5c0e7a21d9%05xf", n)
	}
	return s
}

func init() {
	// Minions are lost for good in a fleet of two cells, of which one has only minions with a lasting task.
	cases["cells"] = func(r *rig, x *rand.Rand) bool {
		zones := []string{"tallinn-a", "tallinn-b", "tallinn-c"}
		inSecond := 0
		for i := range fleet {
			id := fmt.Sprintf("i-%08x", x.Uint32())
			if identifier.CellOf(identifier.Job(id), 2) == 1 {
				inSecond++
			}
			r.w.add(id, service, zones[i%3], fmt.Sprintf("r1-%d", 1+i/20), []string{"a"}, size{16000, 64000, 0})
		}
		if !r.begin(10, "") {
			return false
		}
		r.s.mu.Lock()
		layout := r.s.part("keyed.layout", 0).records
		r.j.note("layout %x, %d of %d minions are the second cell's", layout[len(layout)-1].value, inSecond, fleet)
		r.s.mu.Unlock()
		wide := r.idIn(0, r.sub("lasts", step{Count: 480, CPU: 9000, Mem: 4000, EstimateMS: 1000, LongRunning: true}))
		small := r.idIn(1, r.sub("lasts", step{Count: inSecond, CPU: 1000, Mem: 500, EstimateMS: 1000, LongRunning: true, MaxPerServer: 1}))
		if !r.q.submit(r.j, r.hosts, small, 10) || !r.awaitRunning(small, inSecond) {
			return false
		}
		if !r.q.submit(r.j, r.hosts, wide, 10) || !r.awaitRunning(wide, 480) {
			return false
		}
		time.Sleep(4 * time.Second)
		if r.trouble {
			lost := x.Perm(fleet)[:int(lostShare*fleet)]
			r.j.note("%d minions are lost for good", len(lost))
			for _, i := range lost {
				r.w.minions[i].crash()
			}
			time.Sleep(silentReports * heartbeat)
			for _, i := range lost {
				r.s.put("servers", r.w.minions[i].id, nil)
			}
		}
		// The rule has 6 s from the last run, and 7 s of calm; the runs of lost minions take the rest.
		time.Sleep(25 * time.Second)
		fewest := map[*submission]int{wide: 480, small: inSecond}
		most := map[*submission]int{}
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			r.w.mu.Lock()
			for s := range fewest {
				most[s] = max(most[s], r.j.running(s.ID))
			}
			r.w.mu.Unlock()
		}
		r.w.mu.Lock()
		used, up, roomWide, free := int64(0), int64(0), 0, 0
		for _, m := range r.w.minions {
			if m.life == nil {
				continue
			}
			up++
			u := r.j.used[m]
			used += u.CPU
			if m.capacity.CPU-u.CPU >= 9000 {
				roomWide++
			}
			if u.CPU == 0 {
				free++
			}
		}
		r.w.mu.Unlock()
		r.j.note("%d minions are up, %d are empty, %d have room for a task of 9 cores; %d of %d cores are in use", up, free, roomWide, used/1000, up*16)
		r.j.note("for 3 s at most %d of 480 tasks of 9 cores run, and %d of %d of 1 core", most[wide], most[small], inSecond)
		if missing := 480 - most[wide]; missing > 0 && roomWide >= 2*missing && used*2 < up*16000 {
			r.j.breach("LOST", "%d lasting tasks of %s have not run for 3 s, with room for %d", missing, wide.ID, roomWide)
		}
		return true
	}
}

// awaitRunning waits until n tasks of a submission run.
func (r *rig) awaitRunning(s *submission, n int) bool {
	running := 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r.w.mu.Lock()
		running = r.j.running(s.ID)
		r.w.mu.Unlock()
		if running >= n {
			r.j.note("%d tasks of %s run", running, s.ID)
			return true
		}
	}
	r.j.note("only %d of %d tasks of %s run", running, n, s.ID)
	return false
}
