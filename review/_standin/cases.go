package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// jobID returns the ID of submission n of a case. It ends in letters, so that no task name in the
// record, as ID.0.0.0, reads like an address.
func jobID(kind, n int) string { return fmt.Sprintf("5c0e7a21d9%02x%02xda", kind, n) }

// caseRetired: completed submissions run again after the store did not take the deletion of their
// records for some seconds and a host was later stopped and started in turn.
func caseRetired(d *deployment) (bool, error) {
	const outage, retention = 4500 * time.Millisecond, 20
	d.bounds.statusS = retention
	if err := d.begin(2, 8, 16000, 64000); err != nil {
		return false, err
	}
	began := time.Now()
	at := func(s float64) { time.Sleep(time.Until(began.Add(time.Duration(s * float64(time.Second))))) }
	var ids []string
	for n := range 24 {
		at(float64(n) * 0.5)
		id := jobID(1, n)
		if !d.submit(id, submission{Spec: "ms=300", Steps: []step{{Count: 2, CPU: 1000, MemMb: 512, EstimateMs: 300}}}) {
			return false, fmt.Errorf("submission %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	at(14)
	for _, id := range ids {
		s := d.state(id)
		d.log.add("client: %s is %s", id, s)
		if s != "completed" {
			return false, fmt.Errorf("submission %s is %s", id, s)
		}
	}
	// The host forgets ended submissions every five seconds. The outage is placed over the second time.
	for until := time.Now().Add(40 * time.Second); d.state(ids[0]) != "410"; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			return false, fmt.Errorf("%s is still known", ids[0])
		}
	}
	d.log.add("client: %s is 410", ids[0])
	time.Sleep(2500 * time.Millisecond)
	if d.trouble {
		d.store.refuse("keyed.inbox", true)
		d.log.add("store: the partitions of keyed.inbox answer appends with 503")
	}
	time.Sleep(outage)
	if d.trouble {
		d.store.refuse("keyed.inbox", false)
		d.log.add("store: they serve again after %v; %d appends were refused", outage, d.store.count(d.store.refused, "keyed.inbox"))
	}
	time.Sleep(6 * time.Second)
	if d.trouble || d.restart {
		h := d.holder()
		if h == nil {
			return false, fmt.Errorf("no host holds the cell")
		}
		h.signal(syscall.SIGTERM)
	}
	time.Sleep(12 * time.Second)
	for _, id := range ids {
		d.log.add("client: %s is %s", id, d.state(id))
	}
	return d.judge.broken(), nil
}

// caseReborn: a worker crashes, starts again under its id, and its zone is cut off soon after.
func caseReborn(d *deployment) (bool, error) {
	const down, cut = time.Second, 6400 * time.Millisecond
	d.hostZones = []string{"limerick", "nenagh"}
	if err := d.begin(2, 9, 16000, 64000); err != nil {
		return false, err
	}
	id := jobID(2, 0)
	if !d.submit(id, submission{Spec: "lasts", Steps: []step{{Count: 18, CPU: 1000, MemMb: 1024, LongRunning: true}}}) {
		return false, fmt.Errorf("submission %s was not accepted", id)
	}
	time.Sleep(8 * time.Second)
	w := d.workers[1]
	if d.trouble || d.restart {
		w.crash()
		time.Sleep(down)
		w.restart()
	}
	time.Sleep(1500 * time.Millisecond)
	d.log.add("client: %s is %s and runs on %v", id, d.state(id), d.judge.workersOf(id))
	if !slices.Contains(d.judge.workersOf(id), w.id) {
		return false, fmt.Errorf("worker %s runs nothing", w.id)
	}
	if d.trouble || d.cutOnly {
		d.cutZone(w.zone, true)
		time.Sleep(cut)
		d.cutZone(w.zone, false)
	}
	time.Sleep(9 * time.Second)
	return d.judge.broken(), nil
}

// cutZone begins or ends a partition of a zone without hosts from the others.
func (d *deployment) cutZone(zone string, on bool) {
	for _, w := range d.workers {
		if w.zone == zone {
			w.cut(on)
		}
	}
}

// caseClock: a worker is lost for good, the host that holds the cell is killed, and so is the next
// one as it takes over.
func caseClock(d *deployment) (bool, error) {
	// restartBy is far later than the rule allows: the last process is back half a second after the
	// last kill; contactMs, the 4 s and the 3 s of the rule are 10 s more.
	const quiet, restartBy, watch = 40 * time.Second, 15 * time.Second, 25 * time.Second
	if err := d.begin(3, 8, 16000, 64000); err != nil {
		return false, err
	}
	id := jobID(9, 0)
	if !d.submit(id, submission{Spec: "lasts", Steps: []step{{Count: 16, CPU: 1000, MemMb: 1024, LongRunning: true}}}) {
		return false, fmt.Errorf("submission %s was not accepted", id)
	}
	time.Sleep(quiet)
	if d.judge.activeRuns(id) != 16 {
		return false, fmt.Errorf("%d of 16 tasks run", d.judge.activeRuns(id))
	}
	if d.trouble || d.restart {
		d.workers[0].vanish()
		time.Sleep(200 * time.Millisecond)
		holder := d.holder()
		if holder == nil {
			return false, fmt.Errorf("no host holds the cell")
		}
		if d.trouble {
			var once sync.Once
			d.store.mu.Lock()
			d.store.onCondition = func(topic string) {
				once.Do(func() {
					if next := d.holder(); next != nil {
						d.log.add("store: %s has written to %s under a condition", next.name, topic)
						next.signal(syscall.SIGKILL)
					}
				})
			}
			d.store.mu.Unlock()
		}
		holder.signal(syscall.SIGKILL)
	}
	time.Sleep(3500 * time.Millisecond)
	d.log.add("no further disruption")
	time.Sleep(restartBy)
	n := d.judge.activeRuns(id)
	d.log.add("client: %s is %s; %d of its 16 tasks have a run", id, d.state(id), n)
	time.Sleep(watch)
	later := d.judge.activeRuns(id)
	d.log.add("client: %s is %s; %d of its 16 tasks have a run", id, d.state(id), later)
	d.judge.broken()
	return n < 16, nil
}

// caseSchedule: a submission that repeats often is handed in beside small ones.
func caseSchedule(d *deployment) (bool, error) {
	const traffic = 70 * time.Second
	d.judge.quiet = true
	if err := d.begin(2, 20, 16000, 64000); err != nil {
		return false, err
	}
	began := time.Now()
	steps := []step{}
	for range 5 {
		steps = append(steps, step{Count: 32, CPU: 50, MemMb: 32, EstimateMs: 4000, Checkpoint: true})
	}
	repeat := 8
	if d.trouble {
		repeat = 1000
	}
	large := jobID(3, 0)
	if !d.submit(large, submission{Spec: "ms=4000", Steps: steps, FirstRunMs: time.Now().Add(time.Second).UnixMilli(), PeriodMs: 400, RepeatCount: repeat}) {
		return false, fmt.Errorf("the repeated submission was not accepted")
	}
	d.log.add("client: %s, 160 tasks of 4 s, %d times, each 0.4 s, is accepted", large, repeat)
	var ids []string
	for n := 0; time.Since(began) < traffic; n++ {
		id := jobID(4, n)
		if d.submit(id, submission{Spec: "ms=300", Steps: []step{{Count: 2, CPU: 1000, MemMb: 512, EstimateMs: 300}}}) {
			ids = append(ids, id)
			d.log.add("client: %s is accepted", id)
		}
		time.Sleep(2 * time.Second)
	}
	d.log.add("the traffic ends; the store refused %d appends", d.store.count(d.store.tooLarge, "keyed.work"))
	time.Sleep(time.Duration(d.bounds.finishS) * time.Second)
	var open []string
	for _, id := range ids {
		if s := d.state(id); s != "completed" {
			d.log.add("client: %s is %s, %d runs go on", id, s, d.judge.activeRuns(id))
			open = append(open, id)
		}
	}
	lost := 0
	idle := d.idleEach(open, 4*time.Second)
	for _, id := range open {
		s := d.state(id)
		d.log.add("client: %s is %s; for %.1f of 4 s it had nothing running", id, s, idle[id].Seconds())
		if s != "completed" && idle[id] >= 3*time.Second {
			lost++
		}
	}
	d.log.add("judge: %d of %d small submissions were accepted and have nothing running for 3 s; the store refused %d appends", lost, len(ids), d.store.count(d.store.tooLarge, "keyed.work"))
	return lost > 0, nil
}

// idle watches a submission for a span and returns the longest time for which none of its runs went
// on.
func (d *deployment) idle(id string, span time.Duration) time.Duration {
	return d.idleEach([]string{id}, span)[id]
}

// idleEach is idle for several submissions.
func (d *deployment) idleEach(ids []string, span time.Duration) map[string]time.Duration {
	longest, since := map[string]time.Duration{}, map[string]time.Time{}
	for _, id := range ids {
		since[id] = time.Now()
	}
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, id := range ids {
			if d.judge.activeRuns(id) > 0 {
				since[id] = time.Now()
				continue
			}
			longest[id] = max(longest[id], time.Since(since[id]))
		}
	}
	return longest
}

// caseUneven: one task of a step takes far longer than the others.
func caseUneven(d *deployment) (bool, error) {
	d.labels = [][]string{{"a", "r1-1"}, {"a", "r1-1"}, {"a", "r1-1"}, {"b", "r1-1"}}
	if err := d.begin(2, 4, 16000, 64000); err != nil {
		return false, err
	}
	spec := "ms=300"
	if d.trouble {
		spec = "ms=300 first=15000"
	}
	id := jobID(5, 0)
	if !d.submit(id, submission{Spec: spec, Steps: []step{{Count: 8, CPU: 1000, MemMb: 512, EstimateMs: 300, RequiredLabel: "b"}}}) {
		return false, fmt.Errorf("submission %s was not accepted", id)
	}
	d.log.add("the traffic ends")
	time.Sleep(time.Duration(d.bounds.finishS) * time.Second)
	d.log.add("client: %s is %s", id, d.state(id))
	idle := d.idle(id, 40*time.Second)
	state := d.state(id)
	d.log.add("client: %s is %s; for up to %.1f s none of its runs went on", id, state, idle.Seconds())
	d.judge.broken()
	return state != "completed" && idle >= 3*time.Second, nil
}
