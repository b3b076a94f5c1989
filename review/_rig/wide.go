package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB     = 284
	restartDelay = time.Second
	finishTime   = 14 * time.Second
)

var rssLine = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// memory returns the resident memory of the process in MiB, 0 if it has ended.
func (h *host) memory() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	m := rssLine.FindSubmatch(data)
	if m == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(m[1]))
	return kb >> 10
}

// guardMemory kills a process that exceeds the memory of its machine and starts it again, as the
// platform does. It returns how often each host was killed when stop is closed.
func (r *rig) guardMemory(stop chan struct{}) (kills map[*host]int, peaks map[*host]int, wait func()) {
	kills, peaks = map[*host]int{}, map[*host]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range r.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				n := h.memory()
				mu.Lock()
				peaks[h] = max(peaks[h], n)
				mu.Unlock()
				if n <= memoryMB {
					continue
				}
				r.j.note("host %s has %d MB of %d", h.name, n, memoryMB)
				h.signal(syscall.SIGKILL)
				<-h.ended
				mu.Lock()
				kills[h]++
				mu.Unlock()
				time.Sleep(restartDelay)
				h.start()
			}
		}()
	}
	return kills, peaks, wg.Wait
}

func init() {
	// Submissions that can never be done, until the holder has no memory for them.
	cases["wide"] = func(r *rig, _ *rand.Rand) bool {
		r.minions(6, size{16000, 64000, 0})
		if !r.begin(3, "") {
			return false
		}
		var ordinary []*submission
		hand := func(n int) {
			for range n {
				s := r.sub("ms=300", step{Count: 3, CPU: 1000, Mem: 500, EstimateMS: 300})
				if r.q.submit(r.j, r.hosts, s, 8) {
					ordinary = append(ordinary, s)
				}
			}
		}
		hand(3)
		stop := make(chan struct{})
		kills, peaks, wait := r.guardMemory(stop)
		accepted := 0
		if r.trouble {
			// Bodies of about 100 bytes, of submissions that no minion has the memory for.
			for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && accepted < 450; {
				s := r.sub("ms=100", step{Count: 4096, CPU: 1000, Mem: 640000, EstimateMS: 100})
				if r.q.submit(r.j, r.hosts, s, 1) {
					accepted++
				}
			}
		}
		r.j.note("%d wide submissions were accepted", accepted)
		hand(3)
		r.j.note("the traffic has ended")
		time.Sleep(finishTime)
		for _, s := range ordinary {
			r.askAfterEnd(s)
		}
		close(stop)
		wait()
		often := 0
		for _, h := range r.hosts {
			r.j.note("host %s: killed %d times for its memory, peak %d MB of %d", h.name, kills[h], peaks[h], memoryMB)
			if kills[h] >= 3 {
				often++
			}
		}
		if often >= 2 {
			r.j.breach("Fault", "processes of %d of %d hosts ended three times for their memory", often, len(r.hosts))
		}
		return true
	}
}

// askAfterEnd asks for an accepted submission at all hosts, as a client does that gets no answer.
func (r *rig) askAfterEnd(s *submission) {
	for try := range 5 {
		h := r.hosts[try%len(r.hosts)]
		status, answer, err := call(http.MethodGet, h.front, r.q.host, r.q.prefix+s.ID, nil, clientWait)
		r.j.note("GET %s at %s: %d %.60s %v", s.ID, h.name, status, answer, err)
		switch status {
		case http.StatusOK:
			return
		case http.StatusGone:
			r.j.breach("LOST", "%s was accepted and isn't known", s.ID)
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	r.j.breach("LOST", "%s was accepted, and nobody answers for it", s.ID)
}
