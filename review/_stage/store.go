package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay     = 4 * time.Millisecond // the answer time of the users' small sites
	partitions     = 12
	maxPageItems   = 500
	maxPageBytes   = 1 << 20
	keyedPrefix    = "keyed."
	defaultReadKB  = 1024
	repeatsKept    = 5
	operatorTopic  = "keyed.op"
	workersTopic   = "keyed.servers"
	conditionCode  = http.StatusPreconditionFailed
	fencedReason   = "fenced"
	sequenceReason = "seq"
)

// record is one record of a keyed topic.
type record struct {
	key   string
	value []byte
}

// producer is what a partition remembers of one producer.
type producer struct {
	epoch, seq uint64
	answers    map[uint64]appendAnswer
}

type appendAnswer struct {
	Offset uint64 `json:"offset"`
	End    uint64 `json:"end"`
}

// partition is one partition of a topic. Its records never expire, since a case is shorter than
// the time for which the store keeps them.
type partition struct {
	records   []record
	newest    map[string]uint64
	producers map[string]*producer
}

// member is a member of a group.
type member struct {
	seen       time.Time
	ttl        time.Duration
	generation uint64
}

// group deals the partitions of the topic of a group to its members.
type group struct {
	generation uint64
	members    map[string]*member
	topic      string
	// target is the member to which a partition is dealt, owner the one that may act on it.
	target, owner [partitions]string
}

// store is the platform's metadata store, as PROTOCOL.md describes it in the form of a log.
type store struct {
	mu         sync.Mutex
	changed    chan struct{}
	partitions map[string]*partition
	groups     map[string]*group
}

func newStore() *store {
	return &store{changed: make(chan struct{}), partitions: map[string]*partition{}, groups: map[string]*group{}}
}

// serve answers the calls of the store on a loopback address until the process ends.
func (s *store) serve() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /balsamcove/log-append", s.handleAppend)
	mux.HandleFunc("GET /balsamcove/log-read", s.handleRead)
	mux.HandleFunc("GET /balsamcove/log-newest", s.handleNewest)
	mux.HandleFunc("POST /balsamcove/log-join", s.handleJoin)
	mux.HandleFunc("POST /balsamcove/log-leave", s.handleLeave)
	mux.HandleFunc("GET /balsamcove/log-owners", s.handleOwners)
	return listenAndServe(mux)
}

// listenAndServe serves HTTP on a free loopback port.
func listenAndServe(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, h) }()
	return ln.Addr().String(), nil
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) partitionOf(topic, part string) *partition {
	name := topic + "/" + part
	p, ok := s.partitions[name]
	if !ok {
		p = &partition{newest: map[string]uint64{}, producers: map[string]*producer{}}
		s.partitions[name] = p
	}
	return p
}

func (p *partition) add(r record) {
	if len(r.value) == 0 {
		delete(p.newest, r.key)
	} else {
		p.newest[r.key] = uint64(len(p.records))
	}
	p.records = append(p.records, r)
}

// notify wakes the reads that wait for records; the caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record as the operator or a minion.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitionOf(topic, "0").add(record{key, data})
	s.notify()
}

// remove deletes a key as the operator or a minion.
func (s *store) remove(topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitionOf(topic, "0").add(record{key: key})
	s.notify()
}

func decodeRecords(body []byte) ([]record, error) {
	var out []record
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, io.ErrUnexpectedEOF
		}
		n := int(binary.BigEndian.Uint32(body))
		if body = body[4:]; n < 1 || n > len(body) || int(body[0])+1 > n {
			return nil, io.ErrUnexpectedEOF
		}
		key := int(body[0]) + 1
		out = append(out, record{string(body[1:key]), slices.Clone(body[key:n])})
		body = body[n:]
	}
	return out, nil
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	q := r.URL.Query()
	topic := q.Get("topic")
	records, err := decodeRecords(body)
	switch {
	case err != nil || !strings.HasPrefix(topic, keyedPrefix):
		answer(w, http.StatusBadRequest, struct{}{})
		return
	case topic == operatorTopic || topic == workersTopic:
		answer(w, http.StatusForbidden, struct{}{})
		return
	}
	s.mu.Lock()
	status, out := s.append(s.partitionOf(topic, q.Get("part")), q.Get("producer"), q.Get("epoch"), q.Get("seq"), q.Get("at"), records)
	s.mu.Unlock()
	answer(w, status, out)
}

// append adds records to a partition if the conditions of the call hold; the caller holds mu.
func (s *store) append(p *partition, name, epochText, seqText, at string, records []record) (int, any) {
	end := uint64(len(p.records))
	var from *producer
	epoch, _ := strconv.ParseUint(epochText, 10, 64)
	seq, _ := strconv.ParseUint(seqText, 10, 64)
	if name != "" {
		if from = p.producers[name]; from == nil {
			from = &producer{answers: map[uint64]appendAnswer{}}
		}
		switch {
		case epoch < from.epoch:
			return http.StatusConflict, map[string]any{"reason": fencedReason}
		case epoch > from.epoch:
			from = &producer{epoch: epoch, answers: map[uint64]appendAnswer{}}
		default:
			if first, ok := from.answers[seq]; ok {
				return http.StatusOK, first
			}
			if seq != from.seq+1 {
				return http.StatusConflict, map[string]any{"reason": sequenceReason, "seq": from.seq + 1}
			}
		}
	}
	if at != "" && at != strconv.FormatUint(end, 10) {
		return conditionCode, map[string]any{"end": end}
	}
	for _, r := range records {
		p.add(r)
	}
	out := appendAnswer{end, uint64(len(p.records))}
	if from != nil {
		from.seq, from.answers[seq] = seq, out
		delete(from.answers, seq-repeatsKept)
		p.producers[name] = from
	}
	s.notify()
	return http.StatusOK, out
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	maxKB, err := strconv.Atoi(q.Get("maxKb"))
	if err != nil {
		maxKB = defaultReadKB
	}
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := waitMs > 0; ; {
		s.mu.Lock()
		p, changed := s.partitionOf(q.Get("topic"), q.Get("part")), s.changed
		if from < uint64(len(p.records)) || !waiting {
			out := p.encodeFrom(from, maxKB<<10)
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
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

// encodeFrom returns the answer to a read of at most limit bytes of records.
func (p *partition) encodeFrom(from uint64, limit int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	size := 0
	for i := from; i < uint64(len(p.records)); i++ {
		r := p.records[i]
		n := 1 + len(r.key) + len(r.value)
		if size += n + 4; size > limit {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(n))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	return out
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	out := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		End       uint64 `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionOf(q.Get("topic"), q.Get("part"))
	out.End = uint64(len(p.records))
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	size := 0
	for _, k := range keys {
		value := p.records[p.newest[k]].value
		if size += len(value); len(out.Items) == maxPageItems || len(out.Items) > 0 && size > maxPageBytes {
			out.Truncated = true
			break
		}
		out.Items = append(out.Items, item{k, base64.StdEncoding.EncodeToString(value), p.newest[k]})
	}
	answer(w, http.StatusOK, out)
}

// deal gives the partitions of a group to its members, as evenly as possible; the caller holds mu.
func (g *group) deal() {
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	g.generation++
	counts := map[string]int{}
	for i := range g.target {
		if _, ok := g.members[g.target[i]]; !ok || counts[g.target[i]] >= (partitions+len(names)-1)/max(len(names), 1) {
			g.target[i] = ""
			continue
		}
		counts[g.target[i]]++
	}
	for i := range g.target {
		if g.target[i] != "" || len(names) == 0 {
			continue
		}
		least := slices.MinFunc(names, func(a, b string) int { return counts[a] - counts[b] })
		g.target[i] = least
		counts[least]++
	}
	g.settle()
}

// settle gives a partition to its new member once the earlier one has let go of it.
func (g *group) settle() {
	for i, owner := range g.owner {
		m, ok := g.members[owner]
		if owner != g.target[i] && (!ok || m.generation >= g.generation) {
			g.owner[i] = g.target[i]
		}
	}
}

// expire drops the members that have been silent for longer than their time to live.
func (g *group) expire(now time.Time) {
	gone := false
	for name, m := range g.members {
		if now.Sub(m.seen) > m.ttl {
			delete(g.members, name)
			gone = true
		}
	}
	if gone {
		g.deal()
	}
}

func (s *store) groupOf(name string) *group {
	g, ok := s.groups[name]
	if !ok {
		g = &group{members: map[string]*member{}}
		s.groups[name] = g
	}
	g.expire(time.Now())
	return g
}

func (s *store) handleJoin(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var in struct {
		Group      string   `json:"group"`
		Member     string   `json:"member"`
		Topics     []string `json:"topics"`
		TTLMs      int64    `json:"ttlMs"`
		Generation uint64   `json:"generation"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Topics) != 1 {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupOf(in.Group)
	g.topic = in.Topics[0]
	m, ok := g.members[in.Member]
	if !ok {
		m = &member{}
		g.members[in.Member] = m
	}
	m.seen, m.ttl, m.generation = time.Now(), time.Duration(in.TTLMs)*time.Millisecond, in.Generation
	if !ok {
		m.generation = 0
		g.deal()
	}
	g.settle()
	parts := [][]any{}
	for i := range g.owner {
		if g.owner[i] == in.Member && g.target[i] == in.Member {
			parts = append(parts, []any{g.topic, i, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": g.generation, "ttlMs": in.TTLMs, "parts": parts})
}

func (s *store) handleLeave(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var in struct{ Group, Member string }
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupOf(in.Group)
	if _, ok := g.members[in.Member]; ok {
		delete(g.members, in.Member)
		g.deal()
	}
	answer(w, http.StatusOK, struct{}{})
}

func (s *store) handleOwners(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupOf(r.URL.Query().Get("group"))
	rows := [][]any{}
	for i, owner := range g.owner {
		if owner != "" {
			rows = append(rows, []any{g.topic, i, owner, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"parts": rows})
}
