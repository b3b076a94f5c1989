package server_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// post sends a POST request. It returns the HTTP status and, unless that is 200, the refusal.
func post(t *testing.T, url string, body []byte, header map[string]string) (int, refuser.Refusal) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var refusal refuser.Refusal
	if resp.StatusCode != http.StatusOK {
		if err := json.Unmarshal(data, &refusal); err != nil {
			t.Errorf("status %d and the body is not a refusal: %.100q", resp.StatusCode, data)
		}
	}
	return resp.StatusCode, refusal
}

// TestHostileInput checks that malformed and oversized requests are refused without any effect, and
// that clients that never finish sending a request do not keep others from being served.
func TestHostileInput(t *testing.T) {
	s := newTestCluster(t, 1, 1, time.Millisecond)
	e := s.currentEntries()[0]
	desk := "http://" + e.callers + "/v1/services/desk/requests"
	publications := "http://" + e.admin + "/v1/config/publications"
	tasks := "http://" + e.admin + "/v1/tasks"
	tests := map[string]struct {
		url    string
		body   []byte
		header map[string]string
		code   refuser.Code
	}{
		"request body above the limit": {url: desk, body: make([]byte, 2<<20), code: refuser.CodeTooLarge},
		"request without a service":    {url: "http://" + e.callers + "/v1/services/%00/requests", code: refuser.CodeNotFound},
		"path that does not exist":     {url: "http://" + e.callers + "/v2/anything", code: refuser.CodeNotFound},
		"deadline that is no number":   {url: desk, header: map[string]string{"X-Deadline-Ms": "soon"}, code: refuser.CodeInvalid},
		"deadline below zero":          {url: desk, header: map[string]string{"X-Deadline-Ms": "-1"}, code: refuser.CodeInvalid},
		"deadline of a year":           {url: desk, header: map[string]string{"X-Deadline-Ms": "31536000000"}, code: refuser.CodeInvalid},
		"idempotent header not bool":   {url: desk, header: map[string]string{"X-Idempotent": "perhaps"}, code: refuser.CodeInvalid},
		"request ID that is too long":  {url: desk, header: map[string]string{"X-Request-Id": strings.Repeat("r", 1000)}, code: refuser.CodeInvalid},
		"publication that is no JSON":  {url: publications, body: []byte("{"), code: refuser.CodeInvalid},
		"publication of wrong types":   {url: publications, body: []byte(`{"sources": 5}`), code: refuser.CodeInvalid},
		"publication of nothing":       {url: publications, body: []byte(`{}`), code: refuser.CodeInvalid},
		"publication above the limit":  {url: publications, body: make([]byte, 17<<20), code: refuser.CodeTooLarge},
		"publication of bad bytes":     {url: publications, body: []byte("{\"sources\":[{\"text\":\"kind: \xff\xfe\"}]}"), code: refuser.CodeInvalid},
		"publication nested deeply":    {url: publications, body: []byte(strings.Repeat("[", 100000)), code: refuser.CodeInvalid},
		"task of no pool":              {url: tasks, body: []byte(`{"pool": "none"}`), code: refuser.CodeNotFound},
		"task with a huge payload":     {url: tasks, body: []byte(`{"pool": "runs", "payload": "` + strings.Repeat("x", 1<<20) + `"}`), code: refuser.CodeTooLarge},
		"task with a long name":        {url: tasks, body: []byte(`{"pool": "runs", "task": "` + strings.Repeat("x", 1000) + `"}`), code: refuser.CodeInvalid},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			status, refusal := post(t, tc.url, tc.body, tc.header)
			if refusal.Code != tc.code || refusal.Effect != refuser.NotRun {
				t.Errorf("status %d, refusal %q of effect %q; want %q, not run", status, refusal.Code, refusal.Effect, tc.code)
			}
		})
	}
	t.Run("slow senders", func(t *testing.T) {
		for range 200 {
			conn, err := net.Dial("tcp", e.callers)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write([]byte("POST /v1/services/desk/requests HTTP/1.1\r\nContent-Length: 10\r\n")); err != nil {
				t.Fatal(err)
			}
		}
		b := s.newBalancer()
		b.load("slow", 100, time.Second)
		if refused := b.finish(); len(refused) > 0 {
			t.Errorf("requests refused while clients send slowly: %v", refused)
		}
	})
	if n := len(s.minions[0].History().Served); n > 150 {
		t.Errorf("%d requests executed, want at most 150", n)
	}
}

// TestAcceptedWorkSurvivesLossOfAllHosts checks that tasks and a publication that were accepted are
// not lost when all entry hosts are killed right afterwards.
func TestAcceptedWorkSurvivesLossOfAllHosts(t *testing.T) {
	s := newTestCluster(t, 2, 1, time.Millisecond)
	var accepted []string
	for _, task := range []string{"t1", "t2", "t3"} {
		if status, refusal := post(t, "http://"+s.currentEntries()[0].admin+"/v1/tasks", []byte(`{"pool": "runs", "task": "`+task+`"}`), nil); status != http.StatusOK {
			t.Fatalf("task %s refused: %v", task, refusal.Code)
		}
		accepted = append(accepted, task)
	}
	s.killAll()
	s.startEntry("again")
	s.awaitReady()
	list, err := s.admin(s.currentEntries()[0]).Tasks(context.Background(), "", "runs")
	if err != nil || len(list.Tasks) != len(accepted) {
		t.Errorf("%d tasks after the restart (error %v), want %d", len(list.Tasks), err, len(accepted))
	}
}
