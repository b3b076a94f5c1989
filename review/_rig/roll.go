package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	grace       = 6 * time.Second
	lossSlack   = 200 * time.Millisecond
	rollGap     = 1300 * time.Millisecond
	restartTime = time.Second
)

// callOnce makes a GET on a connection of its own, which is never sent again.
func callOnce(address, host, path string) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientWait)
	defer cancel()
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	check(err)
	req.Host = host
	req.Header.Set("X-Balsamcove-Time-Remaining", strconv.FormatInt(clientWait.Milliseconds(), 10))
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	return resp.StatusCode, string(data), nil
}

func init() {
	// Rolling restart of all hosts, one after the other, while clients ask for their submissions.
	cases["roll"] = func(r *rig, _ *rand.Rand) bool {
		r.minions(6, size{16000, 64000, 0})
		if !r.begin(3, "") {
			return false
		}
		var subs []*submission
		for range 5 {
			s := r.sub("ms=300", step{Count: 3, CPU: 1000, Mem: 500, EstimateMS: 300})
			if r.q.submit(r.j, r.hosts, s, 8) {
				subs = append(subs, s)
			}
		}
		time.Sleep(5 * time.Second)
		var mu sync.Mutex
		var wg sync.WaitGroup
		terminated := map[*host]time.Time{}
		cut, asked := 0, 0
		stop := make(chan struct{})
		// Clients ask for their submissions at all hosts.
		for i, h := range r.hosts {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					wg.Add(1)
					go func() {
						defer wg.Done()
						s := subs[(i+n)%len(subs)]
						sent := time.Now()
						status, answer, err := callOnce(h.front, r.q.host, r.q.prefix+s.ID)
						took := time.Since(sent)
						mu.Lock()
						defer mu.Unlock()
						asked++
						at, ok := terminated[h]
						if status != http.StatusOK || took > 100*time.Millisecond {
							r.j.note("GET %s at %s, sent %.2f s after its SIGTERM: %d %.40s after %d ms, %v", s.ID, h.name, sent.Sub(at).Seconds(), status, answer, took.Milliseconds(), err)
						}
						// The channel ended before the client's time, around planned work.
						if status == 0 && took > lossSlack && took < clientWait-100*time.Millisecond && ok && time.Since(at) < grace+time.Second {
							cut++
							r.j.breach("LOST", "GET %s at %s, sent %.2f s after its SIGTERM, was cut off after %d ms: %v", s.ID, h.name, sent.Sub(at).Seconds(), took.Milliseconds(), err)
						}
					}()
				}
			}()
		}
		time.Sleep(time.Second)
		if r.trouble {
			for _, h := range r.hosts {
				mu.Lock()
				terminated[h] = time.Now()
				mu.Unlock()
				wg.Add(1)
				go func() {
					defer wg.Done()
					h.stop(grace)
					time.Sleep(restartTime)
					h.start()
				}()
				time.Sleep(rollGap)
			}
		}
		time.Sleep(12 * time.Second)
		close(stop)
		wg.Wait()
		r.j.note("%d requests, %d cut off", asked, cut)
		return true
	}
}
