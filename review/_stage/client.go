package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// stockOrFirst is a path that counts the waiting submissions of a queue.
const stockOrFirst = "/stock/"

var httpClient = &http.Client{Timeout: 3 * time.Second}

// call makes a call as a client; status is 0 without an answer.
func call(method, front, path string, body any) (status int, out map[string]any) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		content = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+front+path, content)
	if err != nil {
		return 0, nil
	}
	req.Host = hostHeader
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Balsamcove-Time-Remaining", "3000")
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return resp.StatusCode, out
}

func get(address, path string) (int, map[string]any) {
	return call(http.MethodGet, address, path, nil)
}

// front returns the host that the next call goes to.
func (s *stage) front(n int) string { return s.hosts[n%len(s.hosts)].front }

// jobID returns the ID of the n-th submission. It ends in a letter, so that the names of its tasks in the
// record don't read like addresses.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94%04xb", n) }

// submit hands a submission in, again after no answer, and reports whether it was accepted.
func (s *stage) submit(n int, q queue, steps ...stepSpec) (id string, err error) {
	id = jobID(n)
	s.world.mu.Lock()
	s.world.steps[id], s.world.advised[id] = steps, q.decideMS > 0
	s.world.mu.Unlock()
	for try := range 4 {
		status, _ := call(http.MethodPost, s.front(n+try), q.prefix+id, map[string]any{"spec": "submission " + id, "steps": steps})
		s.log.add("client", "POST %s%s to %s: %d", q.prefix, id, s.hosts[(n+try)%len(s.hosts)].name, status)
		if status == http.StatusOK {
			return id, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return id, fmt.Errorf("submission %s was not accepted", id)
}

// state asks for the state of a submission.
func (s *stage) state(n int, q queue, id string) string {
	status, out := get(s.front(n), q.prefix+id)
	state, _ := out["state"].(string)
	s.log.add("client", "GET %s%s: %d %s", q.prefix, id, status, state)
	return state
}

// cancelAll cancels submissions.
func (s *stage) cancelAll(q queue, ids ...string) {
	for n, id := range ids {
		status, _ := call(http.MethodDelete, s.front(n), q.prefix+id, nil)
		s.log.add("client", "DELETE %s%s: %d", q.prefix, id, status)
	}
}
