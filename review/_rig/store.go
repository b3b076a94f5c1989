// Command rig runs one case of the review: it plays the platform (its store, its minions, its
// clients and its operator) on loopback addresses, starts the system's hosts as separate processes
// and judges what clients and minions see.
package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	storeLatency  = 4 * time.Millisecond
	partitions    = 12
	dedupAppends  = 5
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
	maxReadWaitMS = 30000
)

type record struct {
	offset     uint64
	key, value []byte
}

type appendAnswer struct {
	Offset uint64 `json:"offset"`
	End    uint64 `json:"end"`
}

type writer struct {
	epoch, seq uint64
	started    bool
	answers    map[uint64]appendAnswer
}

type partition struct {
	records []record
	newest  map[string]record
	writers map[string]*writer
	changed chan struct{}
}

type member struct {
	expires time.Time
	topics  []string
	ttl     time.Duration
	// joinedWith is the generation that the last join named.
	joinedWith uint64
}

// owned is who holds a partition of a group. While next differs from member, the partition waits
// until member joins with generation since or a later one.
type owned struct {
	member, next string
	since        uint64
}

type group struct {
	generation uint64
	members    map[string]*member
	owners     map[string]map[int]*owned
}

// store is the platform's metadata store.
type store struct {
	mu     sync.Mutex
	parts  map[string]*partition
	groups map[string]*group
}

func newStore() *store {
	return &store{parts: map[string]*partition{}, groups: map[string]*group{}}
}

// serve listens for the calls of one host and returns the address.
func (s *store) serve(host string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	mux := http.NewServeMux()
	handle := func(pattern string, h func(http.ResponseWriter, *http.Request, []byte)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			time.Sleep(storeLatency)
			h(w, r, body)
		})
	}
	handle("POST /balsamcove/log-append", s.append)
	handle("GET /balsamcove/log-read", s.read)
	handle("GET /balsamcove/log-newest", s.readNewest)
	handle("POST /balsamcove/log-join", s.join)
	handle("POST /balsamcove/log-leave", s.leave)
	handle("GET /balsamcove/log-owners", s.listOwners)
	handle("POST /balsamcove/log-trim", func(w http.ResponseWriter, _ *http.Request, _ []byte) { reply(w, http.StatusOK, struct{}{}) })
	handle("POST /balsamcove/log-commit", func(w http.ResponseWriter, _ *http.Request, _ []byte) { reply(w, http.StatusOK, struct{}{}) })
	srv := &http.Server{Handler: mux}
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) part(topic string, n int) *partition {
	key := topic + "/" + strconv.Itoa(n)
	p, ok := s.parts[key]
	if !ok {
		p = &partition{newest: map[string]record{}, writers: map[string]*writer{}, changed: make(chan struct{})}
		s.parts[key] = p
	}
	return p
}

func (p *partition) end() uint64 { return uint64(len(p.records)) }

func (p *partition) add(key, value []byte) {
	r := record{p.end(), key, value}
	p.records = append(p.records, r)
	if len(value) == 0 {
		delete(p.newest, string(key))
	} else {
		p.newest[string(key)] = r
	}
}

func (p *partition) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// put writes a record as the operator or a minion.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		var err error
		data, err = json.Marshal(value)
		check(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part("keyed."+topic, 0)
	p.add([]byte(key), data)
	p.notify()
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	n, _ := strconv.Atoi(q.Get("part"))
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic"), n)
	var wr *writer
	var epoch, seq uint64
	if name := q.Get("producer"); name != "" {
		epoch, _ = strconv.ParseUint(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseUint(q.Get("seq"), 10, 64)
		if wr = p.writers[name]; wr == nil {
			wr = &writer{answers: map[uint64]appendAnswer{}}
			p.writers[name] = wr
		}
		switch {
		case epoch < wr.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch == wr.epoch && wr.started:
			if a, ok := wr.answers[seq]; ok {
				reply(w, http.StatusOK, a)
				return
			}
			if seq != wr.seq+1 {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "expected": wr.seq + 1})
				return
			}
		}
	}
	if at := q.Get("at"); at != "" && at != strconv.FormatUint(p.end(), 10) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": p.end()})
		return
	}
	first := p.end()
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		rec := body[4 : 4+size]
		body = body[4+size:]
		k := int(rec[0])
		p.add(rec[1:1+k], rec[1+k:])
	}
	a := appendAnswer{first, p.end()}
	if wr != nil {
		if epoch > wr.epoch {
			wr.answers = map[uint64]appendAnswer{}
		}
		wr.epoch, wr.seq, wr.started = epoch, seq, true
		wr.answers[seq] = a
		if seq >= dedupAppends {
			delete(wr.answers, seq-dedupAppends)
		}
	}
	p.notify()
	reply(w, http.StatusOK, a)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, _ []byte) {
	q := r.URL.Query()
	n, _ := strconv.Atoi(q.Get("part"))
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	maxKB, err := strconv.Atoi(q.Get("maxKb"))
	if err != nil {
		maxKB = 1024
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(min(wait, maxReadWaitMS)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		p := s.part(q.Get("topic"), n)
		if from < p.end() || !waiting {
			out := binary.BigEndian.AppendUint64(nil, p.end())
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < p.end(); i++ {
				rec := p.records[i]
				if i > from && len(out)+len(rec.key)+len(rec.value) > maxKB<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(append(out, rec.key...), rec.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		changed := p.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request, _ []byte) {
	q := r.URL.Query()
	n, _ := strconv.Atoi(q.Get("part"))
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic"), n)
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, truncated := []map[string]any{}, 0, false
	for _, k := range keys {
		rec := p.newest[k]
		size += len(k) + len(rec.value)
		if len(items) == maxPageItems || len(items) > 0 && size > maxPageBytes {
			truncated = true
			break
		}
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": rec.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "end": p.end()})
}

func (s *store) group(name string) *group {
	g, ok := s.groups[name]
	if !ok {
		g = &group{generation: 1, members: map[string]*member{}, owners: map[string]map[int]*owned{}}
		s.groups[name] = g
	}
	return g
}

// expire removes the members that have not joined for their time to live.
func (g *group) expire(now time.Time) {
	for name, m := range g.members {
		if now.After(m.expires) {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	if _, ok := g.members[name]; !ok {
		return
	}
	delete(g.members, name)
	for _, parts := range g.owners {
		for _, o := range parts {
			if o.member == name {
				o.member = ""
			}
			if o.next == name {
				o.next = ""
			}
		}
	}
	g.deal()
}

// deal divides the partitions evenly and moves as few as possible.
func (g *group) deal() {
	g.generation++
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	for topic, parts := range g.owners {
		var joined []string
		for _, name := range names {
			if slices.Contains(g.members[name].topics, topic) {
				joined = append(joined, name)
			}
		}
		if len(joined) == 0 {
			continue
		}
		count := map[string]int{}
		most := (len(parts) + len(joined) - 1) / len(joined)
		for n := range partitions {
			o := parts[n]
			if !slices.Contains(joined, o.next) || count[o.next] >= most {
				o.next = ""
				continue
			}
			count[o.next]++
		}
		for n := range partitions {
			o := parts[n]
			if o.next != "" {
				continue
			}
			slices.SortStableFunc(joined, func(a, b string) int { return count[a] - count[b] })
			o.next = joined[0]
			count[o.next]++
		}
		for _, o := range parts {
			if o.member == "" {
				o.member = o.next
			}
			if o.member != o.next {
				o.since = g.generation
			}
		}
	}
}

func (s *store) join(w http.ResponseWriter, _ *http.Request, body []byte) {
	var in struct {
		Group, Member string
		Topics        []string
		TTLMS         int64 `json:"ttlMs"`
		Generation    uint64
	}
	if json.Unmarshal(body, &in) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(in.Group)
	now := time.Now()
	g.expire(now)
	m, ok := g.members[in.Member]
	if !ok {
		m = &member{topics: in.Topics}
		g.members[in.Member] = m
		for _, topic := range in.Topics {
			if g.owners[topic] == nil {
				g.owners[topic] = map[int]*owned{}
				for n := range partitions {
					g.owners[topic][n] = &owned{}
				}
			}
		}
		g.deal()
	}
	m.ttl = time.Duration(in.TTLMS) * time.Millisecond
	m.expires, m.joinedWith = now.Add(m.ttl), in.Generation
	moved := false
	for _, parts := range g.owners {
		for _, o := range parts {
			if o.member == in.Member && o.next != in.Member && o.next != "" && in.Generation >= o.since {
				o.member, moved = o.next, true
			}
		}
	}
	if moved {
		g.generation++
	}
	rows := [][]any{}
	for _, topic := range in.Topics {
		for n := range partitions {
			if o := g.owners[topic][n]; o != nil && o.member == in.Member && o.next == in.Member {
				rows = append(rows, []any{topic, n, 0})
			}
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "ttlMs": in.TTLMS, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, _ *http.Request, body []byte) {
	var in struct{ Group, Member string }
	if json.Unmarshal(body, &in) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(in.Group).remove(in.Member)
	reply(w, http.StatusOK, struct{}{})
}

func (s *store) listOwners(w http.ResponseWriter, r *http.Request, _ []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(r.URL.Query().Get("group"))
	g.expire(time.Now())
	rows := [][]any{}
	for topic, parts := range g.owners {
		for n := range partitions {
			if o := parts[n]; o.member != "" {
				rows = append(rows, []any{topic, n, o.member, 0})
			}
		}
	}
	reply(w, http.StatusOK, map[string]any{"parts": rows})
}

// holder returns the member that owns the first partition of the group of holders, or "".
func (s *store) holder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group("holders")
	g.expire(time.Now())
	for _, parts := range g.owners {
		return parts[0].member
	}
	return ""
}

func check(err error) {
	if err != nil {
		panic(fmt.Sprintf("%+v", err))
	}
}
