package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// quietListener can make the connections that are open silent for good; new ones work.
type quietListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*quietConn]bool
}

type quietConn struct {
	net.Conn
	ln     *quietListener
	mu     sync.Mutex
	silent bool
	closed chan struct{}
	once   sync.Once
}

var quiet struct {
	mu  sync.Mutex
	all []*quietListener
}

func newQuiet(ln net.Listener) net.Listener {
	q := &quietListener{Listener: ln, open: map[*quietConn]bool{}}
	quiet.mu.Lock()
	quiet.all = append(quiet.all, q)
	quiet.mu.Unlock()
	return q
}

func (q *quietListener) Accept() (net.Conn, error) {
	c, err := q.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &quietConn{Conn: c, ln: q, closed: make(chan struct{})}
	q.mu.Lock()
	q.open[out] = true
	q.mu.Unlock()
	return out, nil
}

func (c *quietConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *quietConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *quietConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *quietConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	if c.isSilent() {
		// The other end sees nothing of it.
		return nil
	}
	c.ln.mu.Lock()
	delete(c.ln.open, c)
	c.ln.mu.Unlock()
	return c.Conn.Close()
}

// silence makes all open connections silent, with a chance.
func silence(x *rand.Rand, share float64) int {
	quiet.mu.Lock()
	defer quiet.mu.Unlock()
	n := 0
	for _, q := range quiet.all {
		q.mu.Lock()
		for c := range q.open {
			if x.Float64() < share {
				c.mu.Lock()
				c.silent = true
				c.mu.Unlock()
				delete(q.open, c)
				n++
			}
		}
		q.mu.Unlock()
	}
	return n
}

func init() {
	cases["quiet"] = func(r *rig, x *rand.Rand) bool {
		r.minions(8, capacityOfSoak)
		if !r.begin(3, "") {
			return false
		}
		var subs []*submission
		hand := func(s *submission) bool {
			if r.q.submit(r.j, r.hosts, s, 20) {
				subs = append(subs, s)
				return true
			}
			return false
		}
		hand(r.sub("lasts", step{Count: 10, CPU: 100, Mem: 100, EstimateMS: 100, LongRunning: true}))
		for range 6 {
			for range 6 {
				s := r.randomSub(x)
				if s.Spec != "lasts" && s.Steps[0].RequiredLabel == "" {
					hand(s)
				}
				time.Sleep(time.Duration(x.Int64N(int64(300 * time.Millisecond))))
			}
			if r.trouble {
				r.j.note("%d channels are silent", silence(x, []float64{1, 1, 0.5}[x.IntN(3)]))
			}
			time.Sleep(3 * time.Second)
			s := r.sub("ms=300", step{Count: 5, CPU: 500, Mem: 500, EstimateMS: 300})
			if !hand(s) {
				r.j.breach("LOST", "nobody accepts")
			}
			if !r.awaitState(s, "completed", 8*time.Second) {
				r.j.breach("LOST", "%s isn't completed 8 s after its ack", s.ID)
			}
		}
		for _, s := range subs[1:] {
			if !r.awaitState(s, "completed", 20*time.Second) {
				r.j.breach("LOST", "%s isn't completed", s.ID)
			}
			r.checkComplete(s)
		}
		return true
	}
}
