package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// mutator replaces values in JSON texts by odd ones.
type mutator struct {
	mu    sync.Mutex
	x     *rand.Rand
	share float64
}

func (f *mutator) value() any {
	switch f.x.IntN(16) {
	case 0:
		return nil
	case 1:
		return -1
	case 2:
		return 1e18
	case 3:
		return ""
	case 4:
		return []any{}
	case 5:
		return map[string]any{}
	case 6:
		return strings.Repeat("x", 5000)
	case 7:
		return json.Number("99999999999999999999999")
	case 8:
		return []any{nil, -3, "a", []any{1, 2}}
	case 9:
		return true
	case 10:
		return 9223372036854775807
	case 11:
		return -9223372036854775808
	case 12:
		return 0
	case 13:
		return 0.5
	case 14:
		return []any{[]any{"5c0e7a21d94b0001.0.0.0", -1, "done"}, []any{"zz.1", 2}, []any{"5c0e7a21d94b0001.-1.9.99999", 1, 4, 5, 6, 7, 8}}
	default:
		return 4294967296
	}
}

func (f *mutator) walk(v any) any {
	switch t := v.(type) {
	case map[string]any:
		for k := range t {
			if f.x.IntN(6) == 0 {
				if f.x.IntN(4) == 0 {
					delete(t, k)
					continue
				}
				t[k] = f.value()
				continue
			}
			t[k] = f.walk(t[k])
		}
		return t
	case []any:
		for i := range t {
			if f.x.IntN(6) == 0 {
				t[i] = f.value()
				continue
			}
			t[i] = f.walk(t[i])
		}
		if len(t) > 0 && f.x.IntN(8) == 0 {
			return t[:len(t)-1]
		}
		return t
	default:
		return v
	}
}

func (f *mutator) text(in []byte) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.x.Float64() >= f.share {
		return in
	}
	if f.x.IntN(10) == 0 {
		return in[:f.x.IntN(len(in)+1)]
	}
	var v any
	if json.Unmarshal(in, &v) != nil {
		return in
	}
	out, err := json.Marshal(f.walk(v))
	check(err)
	return out
}

func (f *mutator) wrap(h http.HandlerFunc) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		h(rec, r)
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(rec.Code)
		_, _ = out.Write(f.text(rec.Body.Bytes()))
	}
}

func init() {
	cases["odd"] = func(r *rig, x *rand.Rand) bool {
		r.minions(8, capacityOfSoak)
		if !r.begin(3, "") {
			return false
		}
		f := &mutator{x: rand.New(rand.NewPCG(x.Uint64(), 4)), share: 0.5}
		r.w.mu.Lock()
		for _, m := range r.w.minions[:3] {
			m.odd = f
		}
		r.w.mu.Unlock()
		var subs []*submission
		for stop := time.Now().Add(40 * time.Second); time.Now().Before(stop); {
			s := r.randomSub(x)
			if r.q.submit(r.j, r.hosts, s, 10) {
				subs = append(subs, s)
			}
			time.Sleep(time.Duration(x.Int64N(int64(300 * time.Millisecond))))
		}
		r.w.mu.Lock()
		for _, m := range r.w.minions[:3] {
			m.odd = nil
		}
		r.w.mu.Unlock()
		time.Sleep(10 * time.Second)
		counts := map[string]int{}
		for _, s := range subs {
			status, state := r.q.state(r.j, r.hosts[x.IntN(3)], s.ID)
			if status != 200 {
				r.j.breach("LOST", "%s: %d", s.ID, status)
			}
			counts[state]++
		}
		r.j.note("states %v", counts)
		return true
	}
}
