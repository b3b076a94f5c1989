package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The store's limits and response times, as the settings of a small deployment give them.
const (
	storeParts       = 12
	storeRecordBytes = 262144
	storeCallBytes   = 2097152
	storeKeep        = 20 * time.Second
	storePartBytes   = 100 << 20
	storeAppendTime  = 2 * time.Millisecond
	storeAnswerTime  = 4 * time.Millisecond
	storePartRate    = 20e6 // bytes per second
	newestMaxItems   = 500
	newestMaxBytes   = 1 << 20
)

// record is one record of a keyed topic.
type record struct {
	raw   []byte
	key   string
	value []byte
	at    time.Time
}

// appendResult is the response to an append of a producer, kept for repeats.
type appendResult struct{ seq, offset, end uint64 }

// producer is the state of one producer at one partition.
type producer struct {
	epoch   uint64
	started bool
	last    []appendResult
}

// partition holds the retained records and the newest record of each key.
type partition struct {
	appending sync.Mutex

	mu        sync.Mutex
	first     uint64
	records   []record
	bytes     int
	newest    map[string]newestRecord
	producers map[string]*producer
	changed   chan struct{}
}

type newestRecord struct {
	value  []byte
	offset uint64
}

func (p *partition) end() uint64 { return p.first + uint64(len(p.records)) }

// add appends records; the caller holds mu.
func (p *partition) add(list []record) (offset uint64) {
	offset = p.end()
	for _, r := range list {
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = newestRecord{r.value, p.end()}
		}
		p.records = append(p.records, r)
		p.bytes += len(r.raw)
	}
	for len(p.records) > 0 && (time.Since(p.records[0].at) > storeKeep || p.bytes > storePartBytes) {
		p.bytes -= len(p.records[0].raw)
		p.records = p.records[1:]
		p.first++
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return offset
}

// store is a stand-in of the platform's log with keyed topics and groups.
type store struct {
	log *journal

	mu     sync.Mutex
	parts  map[string]*partition
	groups map[string]*group
	// refusing holds the topics to which appends are answered 503.
	refusing map[string]bool
	// onCondition, if set, is called once an append under a condition was answered with success.
	onCondition func(topic string)
	// refused and tooLarge count the appends that were answered 503 and 413, by topic.
	refused, tooLarge map[string]int
}

func newStore(log *journal) *store {
	return &store{
		log: log, parts: map[string]*partition{}, groups: map[string]*group{},
		refusing: map[string]bool{}, refused: map[string]int{}, tooLarge: map[string]int{},
	}
}

// refuse begins or ends an outage of the partitions of a topic for appends.
func (s *store) refuse(topic string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing[topic] = on
}

func (s *store) count(counts map[string]int, topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return counts[topic]
}

func (s *store) partition(topic string, part int) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := topic + "/" + strconv.Itoa(part)
	p, ok := s.parts[name]
	if !ok {
		p = &partition{newest: map[string]newestRecord{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.parts[name] = p
	}
	return p
}

// put writes a record of the platform itself; a nil value removes the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	p := s.partition(topic, 0)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add([]record{newRecord(key, data)})
}

func newRecord(key string, value []byte) record {
	raw := append([]byte{byte(len(key))}, key...)
	return record{raw: append(raw, value...), key: key, value: value, at: time.Now()}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /balsamcove/log-append", s.handleAppend)
	mux.HandleFunc("GET /balsamcove/log-read", s.handleRead)
	mux.HandleFunc("GET /balsamcove/log-newest", s.handleNewest)
	mux.HandleFunc("POST /balsamcove/log-join", s.handleJoin)
	mux.HandleFunc("POST /balsamcove/log-leave", s.handleLeave)
	mux.HandleFunc("POST /balsamcove/log-commit", func(w http.ResponseWriter, _ *http.Request) { answer(w, 200, struct{}{}) })
	mux.HandleFunc("GET /balsamcove/log-owners", s.handleOwners)
	return mux
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func number(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

// handleAppend serves POST log-append.
func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	body, err := io.ReadAll(io.LimitReader(r.Body, 4*storeCallBytes))
	if err != nil {
		return
	}
	time.Sleep(storeAnswerTime)
	if topic == "keyed.op" || topic == "keyed.servers" {
		answer(w, 403, struct{}{})
		return
	}
	s.mu.Lock()
	refusing := s.refusing[topic]
	if refusing {
		s.refused[topic]++
	}
	s.mu.Unlock()
	if refusing {
		answer(w, 503, struct{}{})
		return
	}
	list, ok := splitRecords(body)
	if !ok || len(body) > storeCallBytes {
		s.mu.Lock()
		s.tooLarge[topic]++
		n := s.tooLarge[topic]
		s.mu.Unlock()
		if n <= 3 {
			s.log.add("store: an append to %s is refused, a record has more than %d bytes or the call more than %d (%d bytes)", topic, storeRecordBytes, storeCallBytes, len(body))
		}
		answer(w, 413, struct{}{})
		return
	}
	p := s.partition(topic, int(number(r, "part")))
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(storeAppendTime + time.Duration(float64(len(body))/storePartRate*float64(time.Second)))
	status, out := p.append(list, q.Has("at"), number(r, "at"), q.Get("producer"), number(r, "epoch"), number(r, "seq"))
	answer(w, status, out)
	s.mu.Lock()
	onCondition := s.onCondition
	s.mu.Unlock()
	if onCondition != nil && status == 200 && q.Has("at") {
		onCondition(topic)
	}
}

// splitRecords splits the body of an append; ok is false if a record is too long.
func splitRecords(body []byte) (list []record, ok bool) {
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > len(body) || n > storeRecordBytes || n == 0 {
			return nil, false
		}
		raw := body[:n]
		key := int(raw[0])
		if 1+key > n {
			return nil, false
		}
		list = append(list, record{raw: raw, key: string(raw[1 : 1+key]), value: raw[1+key:], at: time.Now()})
		body = body[n:]
	}
	return list, len(body) == 0
}

// append checks the conditions of an append and carries it out.
func (p *partition) append(list []record, hasAt bool, at uint64, name string, epoch, seq uint64) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var pr *producer
	if name != "" {
		if pr = p.producers[name]; pr == nil {
			pr = &producer{}
			p.producers[name] = pr
		}
		switch {
		case epoch < pr.epoch:
			return 409, map[string]any{"reason": "fenced", "end": p.end()}
		case epoch == pr.epoch && pr.started:
			if i := slices.IndexFunc(pr.last, func(a appendResult) bool { return a.seq == seq }); i >= 0 {
				return 200, map[string]any{"offset": pr.last[i].offset, "end": pr.last[i].end}
			}
			if expected := pr.last[len(pr.last)-1].seq + 1; seq != expected {
				return 409, map[string]any{"reason": "seq", "seq": expected, "end": p.end()}
			}
		}
	}
	if hasAt && at != p.end() {
		return 412, map[string]any{"end": p.end()}
	}
	if pr != nil && (epoch > pr.epoch || !pr.started) {
		pr.epoch, pr.started, pr.last = epoch, true, nil
	}
	offset := p.add(list)
	if pr != nil {
		pr.last = append(pr.last, appendResult{seq, offset, p.end()})
		pr.last = pr.last[max(0, len(pr.last)-5):]
	}
	return 200, map[string]any{"offset": offset, "end": p.end()}
}

// handleRead serves GET log-read.
func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	p := s.partition(r.URL.Query().Get("topic"), int(number(r, "part")))
	from := number(r, "from")
	maxBytes := 1024 << 10
	if kb := number(r, "maxKb"); kb > 0 {
		maxBytes = int(min(kb, 1024)) << 10
	}
	deadline := time.After(time.Duration(min(number(r, "waitMs"), 30000)) * time.Millisecond)
	time.Sleep(storeAnswerTime)
	for waiting := true; ; {
		p.mu.Lock()
		if from < p.first {
			first := p.first
			p.mu.Unlock()
			answer(w, 410, map[string]any{"first": first})
			return
		}
		if from < p.end() || !waiting {
			out := binary.BigEndian.AppendUint64(nil, p.end())
			out = binary.BigEndian.AppendUint64(out, p.first)
			size := 0
			for i := from; i < p.end(); i++ {
				raw := p.records[i-p.first].raw
				if size += len(raw) + 4; size > maxBytes {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(raw)))
				out = append(out, raw...)
			}
			p.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// handleNewest serves GET log-newest.
func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	p := s.partition(r.URL.Query().Get("topic"), int(number(r, "part")))
	after := r.URL.Query().Get("after")
	time.Sleep(storeAnswerTime)
	p.mu.Lock()
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	items, size := []item{}, 0
	for _, k := range keys {
		rec := p.newest[k]
		if size += len(rec.value); len(items) == newestMaxItems || len(items) > 0 && size > newestMaxBytes {
			break
		}
		items = append(items, item{k, base64.StdEncoding.EncodeToString(rec.value), rec.offset})
	}
	out := map[string]any{"items": items, "truncated": len(items) < len(keys), "end": p.end()}
	p.mu.Unlock()
	answer(w, 200, out)
}

// group deals the partitions of its topics to its members.
type group struct {
	generation uint64
	members    map[string]*member
	// target is the member that a partition is to belong to, owner the one that has it.
	target, owner map[string]string
	topics        []string
}

type member struct {
	expires time.Time
	ttl     time.Duration
	// lostAt is the generation with which a partition was last taken from the member.
	lostAt uint64
}

// handleJoin serves POST log-join.
func (s *store) handleJoin(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Group, Member string
		Topics        []string
		TTLMs         int64
		Generation    uint64
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, 400, struct{}{})
		return
	}
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(in.Group)
	g.topics = in.Topics
	g.expire()
	m, ok := g.members[in.Member]
	if !ok {
		m = &member{}
		g.members[in.Member] = m
		g.deal()
	}
	m.ttl = time.Duration(in.TTLMs) * time.Millisecond
	m.expires = time.Now().Add(m.ttl)
	if in.Generation >= m.lostAt {
		g.release(in.Member)
	}
	g.take(in.Member)
	rows := [][]any{}
	for _, name := range g.partitions() {
		if g.owner[name] == in.Member && g.target[name] == in.Member {
			topic, part := splitName(name)
			rows = append(rows, []any{topic, part, 0})
		}
	}
	answer(w, 200, map[string]any{"generation": g.generation, "ttlMs": in.TTLMs, "parts": rows})
}

func splitName(name string) (topic string, part int) {
	i := len(name) - 1
	for name[i] != '/' {
		i--
	}
	part, _ = strconv.Atoi(name[i+1:])
	return name[:i], part
}

func (s *store) group(name string) *group {
	g, ok := s.groups[name]
	if !ok {
		g = &group{members: map[string]*member{}, target: map[string]string{}, owner: map[string]string{}}
		s.groups[name] = g
	}
	return g
}

func (g *group) partitions() []string {
	var out []string
	for _, t := range g.topics {
		for p := range storeParts {
			out = append(out, t+"/"+strconv.Itoa(p))
		}
	}
	return out
}

// expire removes the members that have sent nothing for their ttl.
func (g *group) expire() {
	gone := false
	for name, m := range g.members {
		if time.Now().After(m.expires) && m.ttl > 0 {
			delete(g.members, name)
			gone = true
		}
	}
	if gone {
		g.deal()
	}
}

// deal distributes the partitions evenly and moves as few as possible.
func (g *group) deal() {
	g.generation++
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	load := map[string]int{}
	var free []string
	for _, p := range g.partitions() {
		if t := g.target[p]; g.members[t] != nil {
			load[t]++
			continue
		}
		free = append(free, p)
	}
	least := func() string {
		return slices.MinFunc(names, func(a, b string) int { return load[a] - load[b] })
	}
	if len(names) == 0 {
		clear(g.target)
		return
	}
	for _, p := range free {
		to := least()
		g.target[p] = to
		load[to]++
	}
	all := g.partitions()
	for _, p := range slices.Backward(all) {
		to, from := least(), g.target[p]
		if load[from]-load[to] > 1 {
			g.target[p] = to
			load[from]--
			load[to]++
			if m := g.members[from]; m != nil {
				m.lostAt = g.generation
			}
		}
	}
	for p, o := range g.owner {
		if g.members[o] == nil {
			delete(g.owner, p)
		}
	}
}

// release gives up the partitions that no longer belong to a member.
func (g *group) release(name string) {
	for p, o := range g.owner {
		if o == name && g.target[p] != name {
			delete(g.owner, p)
		}
	}
}

// take makes a member the owner of its partitions that nobody owns.
func (g *group) take(name string) {
	taken := false
	for p, t := range g.target {
		if _, owned := g.owner[p]; t == name && !owned {
			g.owner[p] = name
			taken = true
		}
	}
	if taken {
		g.generation++
	}
}

// handleLeave serves POST log-leave.
func (s *store) handleLeave(w http.ResponseWriter, r *http.Request) {
	var in struct{ Group, Member string }
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, 400, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(in.Group)
	if _, ok := g.members[in.Member]; ok {
		delete(g.members, in.Member)
		g.deal()
	}
	answer(w, 200, struct{}{})
}

// handleOwners serves GET log-owners.
func (s *store) handleOwners(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	answer(w, 200, map[string]any{"owners": s.owners(r.URL.Query().Get("group"))})
}

// owners returns rows of topic, partition, member and offset.
func (s *store) owners(name string) [][]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(name)
	g.expire()
	rows := [][]any{}
	for _, p := range g.partitions() {
		if o, ok := g.owner[p]; ok {
			topic, part := splitName(p)
			rows = append(rows, []any{topic, part, o, 0})
		}
	}
	return rows
}
