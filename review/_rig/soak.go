package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

var capacityOfSoak = size{16000, 64000, 0}

func (r *rig) randomSub(x *rand.Rand) *submission {
	ms := 200 + x.IntN(1500)
	spec := fmt.Sprintf("ms=%d", ms)
	base := step{Count: 1 + x.IntN(6), CPU: 500 + x.Int64N(3000), Mem: 500 + x.Int64N(4000), EstimateMS: ms}
	switch x.IntN(9) {
	case 0, 1:
		base.Gang = true
		if x.IntN(2) == 0 {
			base.MaxPerServer = 1
		}
		return r.sub(spec, base)
	case 2:
		s := r.sub(spec, base, step{Count: 2, CPU: 1000, Mem: 500, EstimateMS: ms, After: []int{0}})
		s.FirstRunMS, s.PeriodMS, s.RepeatCount = time.Now().UnixMilli()+x.Int64N(3000), 300+x.IntN(1500), 2+x.IntN(5)
		return s
	case 3:
		base.RequiredLabel = "b"
		base.Count = 1 + x.IntN(3)
		return r.sub(spec, base)
	case 4:
		base.MaxPerServer = 1
		base.Count = 3
		return r.sub(spec, base, step{Count: 4, CPU: 1000, Mem: 500, EstimateMS: ms, After: []int{0}})
	case 5:
		base.LongRunning, base.MaxUnavailable, base.CPU, base.Mem = true, 1, 100+x.Int64N(150), 100
		return r.sub("lasts", base)
	case 6:
		base.Speculative = true
		return r.sub(spec, base)
	case 7:
		base.Gang = true
		return r.sub(spec, base, step{Count: 3, CPU: 1000, Mem: 500, EstimateMS: ms, Gang: true, After: []int{0}})
	default:
		return r.sub(spec, base, step{Count: 1 + x.IntN(5), CPU: 1000, Mem: 500, EstimateMS: ms, After: []int{0}})
	}
}

func init() {
	cases["soak"] = func(r *rig, x *rand.Rand) bool {
		caps := capacityOfSoak
		r.minions(9, caps)
		r.w.add("i-00000b01", service, "tallinn-a", "r1-9", []string{"b"}, caps)
		r.w.add("i-00000b02", service, "tallinn-b", "r1-9", []string{"b"}, caps)
		if !r.begin(3, "") {
			return false
		}
		var mu sync.Mutex
		var subs []*submission
		var wg sync.WaitGroup
		stop := time.Now().Add(45 * time.Second)
		var down sync.Map
		for c := range 3 {
			wg.Add(1)
			y := rand.New(rand.NewPCG(x.Uint64(), uint64(c)))
			go func() {
				defer wg.Done()
				for time.Now().Before(stop) {
					mu.Lock()
					s := r.randomSub(y)
					mu.Unlock()
					i := y.IntN(3)
					hosts := append(append([]*host{}, r.hosts[i:]...), r.hosts[:i]...)
					ok := r.q.submit(r.j, hosts, s, 30)
					mu.Lock()
					if ok {
						subs = append(subs, s)
					}
					mu.Unlock()
					if ok && (y.IntN(8) == 0 || s.Spec == "lasts" && y.IntN(2) == 0) {
						wg.Add(1)
						wait := time.Duration(y.Int64N(int64(3 * time.Second)))
						go func() {
							defer wg.Done()
							time.Sleep(wait)
							for !r.q.cancel(r.j, hosts, s) {
								time.Sleep(100 * time.Millisecond)
							}
						}()
					}
					time.Sleep(time.Duration(y.Int64N(int64(700 * time.Millisecond))))
				}
			}()
		}
		if r.trouble {
			for time.Now().Before(stop.Add(-2 * time.Second)) {
				for range 1 + x.IntN(2) {
					r.randomFault(x, &wg, &down)
				}
				time.Sleep(time.Duration(x.Int64N(int64(6 * time.Second))))
			}
		}
		wg.Wait()
		r.s.setFault(nil)
		r.j.note("troubles are over")
		// Everything accepted has to complete now.
		end := time.Now().Add(35 * time.Second)
		open := subs
		for len(open) > 0 && time.Now().Before(end) {
			var rest []*submission
			for _, s := range open {
				status, state := r.q.state(r.j, r.hosts[x.IntN(3)], s.ID)
				r.w.mu.Lock()
				running := r.j.running(s.ID)
				r.w.mu.Unlock()
				switch {
				case status == 410:
					r.j.breach("LOST", "%s is unknown", s.ID)
				case s.cancelled.IsZero() && s.Spec == "lasts":
					if running < s.Steps[0].Count || state != "running" {
						rest = append(rest, s)
					}
				case s.cancelled.IsZero():
					if state != "completed" {
						rest = append(rest, s)
					}
					if state == "failed" || state == "cancelled" {
						r.j.breach("LOST", "%s is shown as %s", s.ID, state)
					}
					if state == "completed" {
						r.checkComplete(s)
					}
				default:
					if state != "cancelled" && state != "completed" || running > 0 {
						rest = append(rest, s)
					}
				}
			}
			open = rest
			time.Sleep(300 * time.Millisecond)
		}
		for _, s := range open {
			_, state := r.q.state(r.j, r.hosts[0], s.ID)
			r.w.mu.Lock()
			r.j.breach("LOST", "%s (%+v, cancelled %v) is %q, %d run", s.ID, s.Steps, !s.cancelled.IsZero(), state, r.j.running(s.ID))
			r.w.mu.Unlock()
		}
		return true
	}
}

// checkComplete checks that all tasks of a submission that is shown as completed have ended done.
func (r *rig) checkComplete(s *submission) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	for k := range max(s.RepeatCount, 1) {
		for n, st := range s.Steps {
			for i := range st.Count {
				if task := fmt.Sprintf("%s.%d.%d.%d", s.ID, k, n, i); !r.j.ran[task] {
					r.j.breach("MIXED", "%s is shown as completed, and %s is not done", s.ID, task)
				}
			}
		}
	}
}

func (r *rig) randomFault(x *rand.Rand, wg *sync.WaitGroup, down *sync.Map) {
	h := r.hosts[x.IntN(len(r.hosts))]
	if x.IntN(3) > 0 {
		if holder := holderOf(r.s, r.hosts); holder != nil {
			h = holder
		}
	}
	m := r.w.minions[x.IntN(len(r.w.minions))]
	span := time.Duration(300+x.IntN(4500)) * time.Millisecond
	async := func(f func()) {
		wg.Add(1)
		go func() { defer wg.Done(); f() }()
	}
	busy := func(key any, f func()) {
		if _, taken := down.LoadOrStore(key, true); taken {
			return
		}
		async(func() { defer down.Delete(key); f() })
	}
	portion := x.Float64()
	y := rand.New(rand.NewPCG(x.Uint64(), 3))
	switch k := x.IntN(12); k {
	case 0, 1:
		busy(h, func() {
			h.kill()
			time.Sleep(span / 3)
			h.start()
		})
	case 2:
		busy(h, func() {
			h.stop(6 * time.Second)
			time.Sleep(span / 5)
			h.start()
		})
	case 3, 4:
		busy(h, func() {
			h.signal(syscall.SIGSTOP)
			time.Sleep(span + time.Second)
			h.signal(syscall.SIGCONT)
		})
	case 5, 6:
		busy(m, func() {
			r.j.note("%s crashes for %v", m.id, span/2)
			m.crash()
			time.Sleep(span / 2)
			m.restart(m.capacity, 0)
		})
	case 7, 8:
		kind := []orderFault{orderUnanswered, orderDropped, orderLate}[x.IntN(3)]
		busy(m, func() {
			r.j.note("%s: orders %d with %.2f for %v", m.id, kind, portion, span)
			r.w.mu.Lock()
			m.fault = func(string, string) orderFault {
				if y.Float64() < portion {
					return kind
				}
				return orderServed
			}
			r.w.mu.Unlock()
			time.Sleep(span)
			r.w.mu.Lock()
			m.fault = nil
			r.w.mu.Unlock()
		})
	case 9:
		busy(m, func() {
			r.j.note("%s is cut off for %v", m.id, 2*span)
			r.w.mu.Lock()
			m.fault = func(string, string) orderFault { return orderDropped }
			r.w.mu.Unlock()
			time.Sleep(2 * span)
			r.w.mu.Lock()
			m.fault = nil
			r.w.mu.Unlock()
		})
	case 10, 11:
		kind := []storeFault{storeBusy, storeSilent, storeLosesAnswer}[x.IntN(3)]
		all := x.IntN(3) == 0
		busy(r.s, func() {
			r.j.note("store: %d for %s (all %v, %.2f) for %v", kind, h.name, all, portion, span)
			var lock sync.Mutex
			r.s.setFault(func(host, path string) storeFault {
				lock.Lock()
				defer lock.Unlock()
				if host != h.name && !all || kind == storeLosesAnswer && (y.Float64() > portion || path == "/balsamcove/log-read" || path == "/balsamcove/log-newest" || path == "/balsamcove/log-owners") {
					return storeServes
				}
				return kind
			})
			time.Sleep(span)
			r.s.setFault(nil)
		})
	}
}
