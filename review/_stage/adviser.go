package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	maxWaitingCalls = 32
	permitTime      = 3 * time.Second
)

// adviser is the placement adviser towards one calling machine: it handles one call at a time, in turn.
// All minions may run all steps.
type adviser struct {
	decide, perWorker time.Duration
	log               *history
	// calls are the calls that wait, in the order in which they came.
	calls chan adviceCall
	// tickets are when the tickets were given out, by ticket. They are shared by all advisers.
	tickets *sync.Map
}

// adviceCall is a call that waits; done is closed once it was handled.
type adviceCall struct {
	workers int
	left    <-chan struct{}
	done    chan struct{}
}

func (a *adviser) serve() (string, error) {
	a.calls = make(chan adviceCall, maxWaitingCalls)
	go func() {
		for c := range a.calls {
			a.work(c)
			close(c.done)
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /balsamcove/advise", a.handle)
	return listenAndServe(mux)
}

func (a *adviser) handle(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	asked := time.Now()
	c := adviceCall{len(in.Workers), r.Context().Done(), make(chan struct{})}
	select {
	case a.calls <- c:
	default:
		a.log.add("advice", "step %s: 429", in.Step)
		answer(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	<-c.done
	good := [][]string{}
	for _, id := range in.Workers {
		ticket := fmt.Sprintf("%s/%s/%d", in.Step, id, time.Now().UnixNano())
		a.tickets.Store(ticket, time.Now())
		good = append(good, []string{id, ticket})
	}
	left := ""
	if r.Context().Err() != nil {
		left = ", but the caller has left"
	}
	a.log.add("advice", "step %s, %d minions: answered after %.2f s%s", in.Step, len(in.Workers), time.Since(asked).Seconds(), left)
	answer(w, http.StatusOK, map[string]any{"good": good, "validMs": permitTime.Milliseconds()})
}

// work takes the time of a call, but no more of it once the caller has left.
func (a *adviser) work(c adviceCall) {
	select {
	case <-time.After(a.decide + time.Duration(c.workers)*a.perWorker):
	case <-c.left:
	}
}

// permits reports whether a ticket lets a step run on a minion now.
func permits(tickets *sync.Map, ticket, step, minion string) bool {
	at, ok := tickets.Load(ticket)
	if !ok || time.Since(at.(time.Time)) > permitTime {
		return false
	}
	prefix := step + "/" + minion + "/"
	return len(ticket) > len(prefix) && ticket[:len(prefix)] == prefix
}
