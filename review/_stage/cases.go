package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	minionCount = 8
	minionCPU   = 16000
	minionMemMB = 62500
)

// gangFailures hands gangs in while one minion of eight fails all that it starts. A gang of 24 tasks
// has three on each minion, so that its first run ends with three tasks failed. That is one failure
// of the gang, which has maxAttempts 3.
func gangFailures(s *stage) (bool, error) {
	if err := s.begin(minionCount, minionCPU, minionMemMB, stockCheck, invoiceRun); err != nil {
		return false, err
	}
	if s.trouble {
		s.log.add("trouble", "%s fails all that it starts from now on", s.minions[3].id)
		s.minions[3].setMode(failing)
		time.AfterFunc(6*time.Second, func() {
			s.log.add("trouble", "%s is sound again", s.minions[3].id)
			s.minions[3].setMode(sound)
		})
	}
	gang := stepSpec{Count: 24, CPU: 2000, MemMB: 1000, EstimateMS: 1000, Gang: true, work: time.Second}
	var ids []string
	for n := range 3 {
		id, err := s.submit(n, invoiceRun, gang)
		if err != nil {
			return false, err
		}
		ids = append(ids, id)
		time.Sleep(1500 * time.Millisecond)
	}
	broken := false
	deadline := time.Now().Add(30 * time.Second)
	for _, id := range ids {
		state := ""
		for state != "completed" && state != "failed" && time.Now().Before(deadline) {
			time.Sleep(250 * time.Millisecond)
			state = s.state(0, invoiceRun, id)
		}
		failed := map[uint32]int{}
		for _, e := range s.log.endsOf(id) {
			if e.how == "failed" {
				failed[e.run]++
			}
		}
		s.log.add("judge", "submission %s is %s; runs of the gang with tasks that ended failed: %v, maxAttempts %d", id, state, failed, invoiceRun.attempts)
		if state == "failed" && len(failed) < invoiceRun.attempts {
			s.log.add("judge", "LOST: %s is shown as failed after %d failed run(s) of its gang", id, len(failed))
			broken = true
		}
		if state != "failed" && state != "completed" {
			return false, fmt.Errorf("submission %s has not ended", id)
		}
	}
	return broken, nil
}

// cells runs 1,000 minions and one submission of 480 tasks that last, one to a minion. 140 of the minions
// are lost for good, so that 860 are left for the 480 tasks.
func cells(s *stage) (bool, error) {
	const minions, lost, tasks, hosts = 1000, 140, 480, 6
	if err := s.beginWith(hosts, minions, minionCPU, minionMemMB, stockCheck, returnWatch); err != nil {
		return false, err
	}
	id, err := s.submit(0, returnWatch, stepSpec{Count: tasks, CPU: 9000, MemMB: 6400, EstimateMS: 1000, LongRunning: true, work: time.Hour})
	if err != nil {
		return false, err
	}
	running := func() int {
		s.world.mu.Lock()
		defer s.world.mu.Unlock()
		n := 0
		for _, m := range s.minions {
			n += len(m.running)
		}
		return n
	}
	for began := time.Now(); running() < tasks; time.Sleep(100 * time.Millisecond) {
		if time.Since(began) > 20*time.Second {
			return false, fmt.Errorf("only %d of %d tasks run before the disruption", running(), tasks)
		}
	}
	s.log.add("judge", "all %d tasks run", tasks)
	if s.trouble {
		s.log.add("trouble", "%d of %d minions are lost for good", lost, minions)
		for _, i := range rand.New(rand.NewPCG(1, 1)).Perm(minions)[:lost] {
			s.minions[i].crash()
		}
	}
	s.log.add("judge", "%d tasks run", running())
	time.Sleep(25 * time.Second)
	broken := false
	least := tasks
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(250 * time.Millisecond) {
		n := running()
		least = min(least, n)
		s.world.mu.Lock()
		used, all := inUse(s.minions)
		idle := 0
		for _, m := range s.minions {
			if m.mode != dark && len(m.running) == 0 {
				idle++
			}
		}
		s.world.mu.Unlock()
		s.log.add("judge", "%d of %d tasks run, %d of %d processors in use, %d minions are idle", n, tasks, used, all, idle)
		broken = n < tasks && 2*used < all && idle >= 2*(tasks-n)
		if !broken {
			break
		}
	}
	if broken {
		s.log.add("judge", "LOST: %d tasks that last have not run for 3 s, with capacity for them", tasks-least)
	}
	s.cancelAll(returnWatch, id)
	return broken, nil
}

// waitingCount asks how many submissions wait while one minion of eight refuses what it is told to
// start and the others are busy.
func waitingCount(s *stage) (bool, error) {
	if err := s.begin(minionCount, minionCPU, minionMemMB, stockCheck, invoiceRun); err != nil {
		return false, err
	}
	n := 0
	busy := stepSpec{Count: 1, CPU: 15500, MemMB: 1000, EstimateMS: 9000, work: 11 * time.Second}
	for range minionCount - 1 {
		if _, err := s.submit(n, invoiceRun, busy); err != nil {
			return false, err
		}
		n++
	}
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		s.log.add("trouble", "minions refuse all starts with 429 from now on, as unhealthy ones")
		for _, m := range s.minions {
			s.world.mu.Lock()
			idle := len(m.running) == 0
			s.world.mu.Unlock()
			if idle {
				m.setMode(shedding)
				time.AfterFunc(6500*time.Millisecond, func() { m.setMode(sound); s.log.add("trouble", "%s is sound again", m.id) })
			}
		}
	}
	accepted := map[string]time.Time{}
	for range 10 {
		id, err := s.submit(n, stockCheck, stepSpec{Count: 1, CPU: 1000, MemMB: 1000, EstimateMS: 600, work: 600 * time.Millisecond})
		if err != nil {
			return false, err
		}
		accepted[id] = time.Now()
		n++
	}
	// visible_ms and 2 s more.
	const bound = 5 * time.Second
	broken := false
	for began := time.Now(); time.Since(began) < 9*time.Second; time.Sleep(100 * time.Millisecond) {
		asked := time.Now()
		status, out := get(s.front(0), stockCheck.prefix)
		shown, ok := out["waiting"].(float64)
		owed := 0
		for id, at := range accepted {
			if asked.Sub(at) > bound && len(s.log.startsOf(id)) == 0 {
				owed++
			}
		}
		s.log.add("client", "GET %s: %d waiting %v; accepted over 5 s ago and not begun: %d", stockCheck.prefix, status, out["waiting"], owed)
		if ok && status == 200 && 2*int(shown) < owed {
			broken = true
			s.log.add("judge", "MIXED: %d of the submissions accepted over 5 s ago have not begun, %v are shown as waiting", owed, shown)
		}
	}
	return broken, nil
}

// adviceBurst hands twelve submissions in to a queue with advice, at once. A call for advice on all 30
// minions takes 0.94 s, so that one call for each submission takes 11.3 s. Without the burst they come
// one after the other, each once the one before has begun.
func adviceBurst(s *stage) (bool, error) {
	const minions, submissions = 30, 12
	if err := s.begin(minions, minionCPU, minionMemMB, stockCheck, advisedRun); err != nil {
		return false, err
	}
	if s.trouble {
		s.log.add("trouble", "%d submissions come at once", submissions)
	}
	var ids []string
	for n := range submissions {
		id, err := s.submit(n, advisedRun, stepSpec{Count: 2, CPU: 1800, MemMB: 3200, EstimateMS: 1000, work: time.Second})
		if err != nil {
			return false, err
		}
		ids = append(ids, id)
		for began := time.Now(); !s.trouble && len(s.log.startsOf(id)) == 0 && time.Since(began) < 5*time.Second; {
			time.Sleep(10 * time.Millisecond)
		}
	}
	s.log.add("judge", "end of the traffic")
	const finish, idle = 14 * time.Second, 3 * time.Second
	time.Sleep(finish)
	notBegun := map[string]bool{}
	for _, id := range ids {
		notBegun[id] = len(s.log.startsOf(id)) == 0
	}
	for began := time.Now(); time.Since(began) < idle; time.Sleep(500 * time.Millisecond) {
		s.world.mu.Lock()
		used, all := inUse(s.minions)
		s.world.mu.Unlock()
		s.log.add("judge", "%d of %d in use", used, all)
		if 2*used >= all {
			return false, fmt.Errorf("half of the capacity is in use")
		}
	}
	broken := false
	for n, id := range ids {
		state := s.state(n, advisedRun, id)
		if notBegun[id] && len(s.log.startsOf(id)) == 0 {
			s.log.add("judge", "LOST: %s is %q and has had nothing running since it was accepted, beside %d minions that the adviser permits", id, state, minions)
			broken = true
		}
	}
	s.log.add("judge", "observed for 30 s more")
	time.Sleep(30 * time.Second)
	for _, id := range ids {
		if len(s.log.startsOf(id)) == 0 {
			s.log.add("judge", "%s has still not begun", id)
		}
	}
	return broken, nil
}

// fillingGang hands in a gang of three tasks that fill, while a task of 7 processors runs on each of six
// of the eight minions of 16. In the burst each task of the gang asks for 12 processors, without it for 4.
func fillingGang(s *stage) (bool, error) {
	if err := s.begin(minionCount, minionCPU, minionMemMB, stockCheck, invoiceRun); err != nil {
		return false, err
	}
	busy, err := s.submit(0, stockCheck, stepSpec{Count: minionCount - 2, CPU: 7000, MemMB: 6000, EstimateMS: 60_000, MaxPerServer: 1, work: time.Minute})
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	gang := stepSpec{Count: 3, CPU: 4000, MemMB: 3000, EstimateMS: 1000, Gang: true, Fills: true, Image: "invoices", work: time.Second}
	if s.trouble {
		s.log.add("trouble", "a large submission comes: a gang of three tasks that fill and ask for 12 processors each")
		gang.CPU = 12_000
	}
	id, err := s.submit(1, invoiceRun, gang)
	if err != nil {
		return false, err
	}
	s.log.add("judge", "end of the traffic")
	const finish, idle = 14 * time.Second, 3 * time.Second
	time.Sleep(finish)
	for began := time.Now(); time.Since(began) < idle; time.Sleep(500 * time.Millisecond) {
		s.world.mu.Lock()
		used, all := inUse(s.minions)
		s.world.mu.Unlock()
		s.log.add("judge", "%d of %d in use", used, all)
		if 2*used >= all {
			return false, fmt.Errorf("half of the capacity is in use")
		}
	}
	state := s.state(0, invoiceRun, id)
	begun := len(s.log.startsOf(id)) > 0
	if !begun {
		s.log.add("judge", "LOST: %s is %q and has had nothing running since it was accepted", id, state)
	}
	s.log.add("judge", "observed for 30 s more")
	time.Sleep(30 * time.Second)
	if len(s.log.startsOf(id)) == 0 {
		s.log.add("judge", "%s has still not begun", id)
	}
	s.cancelAll(stockCheck, busy)
	return !begun, nil
}
