package jobserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/listener"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// fakeJobs keeps submissions in memory. Submit, Cancel and List return err.
type fakeJobs struct {
	submitted map[identifier.Job]bool
	err       error
}

func (f *fakeJobs) Submit(_ context.Context, in intake.Submission) error {
	if f.err == nil {
		f.submitted[in.Job.ID] = true
	}
	return f.err
}

func (f *fakeJobs) Cancel(context.Context, intake.Cancellation) error { return f.err }

func (f *fakeJobs) Report(_ context.Context, id identifier.Job) (submitter.Report, bool, error) {
	return submitter.Report{ID: id, State: "running"}, f.submitted[id], nil
}

func (f *fakeJobs) Explain(_ context.Context, id identifier.Job) (submitter.Explanation, bool, error) {
	return submitter.Explanation{Reasons: []string{"it runs"}}, f.submitted[id], nil
}

func (f *fakeJobs) List(context.Context, submitter.Selection) (submitter.Reports, error) {
	return submitter.Reports{}, f.err
}

func (f *fakeJobs) Preview(_ context.Context, job submitter.Job, q connector.QueueConfig) (submitter.Preview, error) {
	return submitter.Preview{Queue: q.Name, Steps: make([]submitter.StepPreview, len(job.Steps))}, f.err
}

func (f *fakeJobs) Teams(context.Context) ([]submitter.TeamUsage, error) {
	return []submitter.TeamUsage{{Team: "gone", Runs: 2}, {Team: "menders", Runs: 3}}, f.err
}

// TestCalls checks the status and the body of the response to each call.
func TestCalls(t *testing.T) {
	const job = `{"id":"j1","queue":"bills","steps":[{"count":1,"size":{"processors":1000}}]}`
	unknown := refuser.NewUnknown(refuser.CodeUnavailable, "the store did not answer in time")
	tests := map[string]struct {
		method, path, body string
		err                error
		status             int
		contains           string
	}{
		"submit":            {http.MethodPost, "/v1/jobs", strings.Replace(job, "j1", "j2", 1), nil, 200, `"id":"j2"`},
		"malformed job":     {http.MethodPost, "/v1/jobs", "{", nil, 400, `"effect":"notRun"`},
		"no steps":          {http.MethodPost, "/v1/jobs", `{"id":"j","queue":"bills"}`, nil, 400, "steps"},
		"unknown queue":     {http.MethodPost, "/v1/jobs", strings.Replace(job, "bills", "none", 1), nil, 404, "none"},
		"preview":           {http.MethodPost, "/v1/previews", job, nil, 200, `"candidates":null`},
		"malformed preview": {http.MethodPost, "/v1/previews", "{", nil, 400, `"effect":"notRun"`},
		"preview, no queue": {http.MethodPost, "/v1/previews", strings.Replace(job, "bills", "none", 1), nil, 404, `"id":"j1"`},
		"unknown effect":    {http.MethodPost, "/v1/jobs", job, unknown, 504, `"effect":"unknown"`},
		"too large":         {http.MethodPost, "/v1/jobs", strings.Repeat(" ", 2000) + job, nil, 413, "tooLarge"},
		"report":            {http.MethodGet, "/v1/jobs/j1", "", nil, 200, `"state":"running"`},
		"explain":           {http.MethodGet, "/v1/jobs/j1/explain", "", nil, 200, "it runs"},
		"unknown job":       {http.MethodGet, "/v1/jobs/none", "", nil, 404, "notFound"},
		"list":              {http.MethodGet, "/v1/jobs?state=running", "", nil, 200, "jobs"},
		"list fails":        {http.MethodGet, "/v1/jobs", "", refuser.New(refuser.CodeNotReady, "no holder"), 503, "notReady"},
		"team":              {http.MethodGet, "/v1/teams", "", nil, 200, `{"team":"menders","used":{"processors":0,"memory":0,"accelerators":0},"runs":3,"readyTasks":0,"inForce":true,"weight":2,"limit":{"processors":5000,`},
		"idle team":         {http.MethodGet, "/v1/teams", "", nil, 200, `{"team":"idle","used":{"processors":0,"memory":0,"accelerators":0},"runs":0,"readyTasks":0,"inForce":true`},
		"dropped team":      {http.MethodGet, "/v1/teams", "", nil, 200, `"runs":2,"readyTasks":0,"inForce":false`},
		"teams fail":        {http.MethodGet, "/v1/teams", "", refuser.New(refuser.CodeNotReady, "no holder"), 503, "notReady"},
		"cancel":            {http.MethodPost, "/v1/jobs/j1/cancel", "{}", nil, 200, `"id":"j1"`},
		"cancel of unknown": {http.MethodPost, "/v1/jobs/none/cancel", "{}", nil, 404, "notFound"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			jobs := &fakeJobs{submitted: map[identifier.Job]bool{"j1": true}, err: tt.err}
			status, body := call(t, jobs, tt.method, tt.path, tt.body)
			if status != tt.status || !strings.Contains(body, tt.contains) {
				t.Errorf("%d %s, want %d with %s", status, body, tt.status, tt.contains)
			}
		})
	}
}

// TestSubmitWithoutConfigurationIsNotReady checks that a host without a configuration refuses a
// job as not ready and with its ID, rather than reporting that its queue does not exist.
func TestSubmitWithoutConfigurationIsNotReady(t *testing.T) {
	jobs := &fakeJobs{submitted: map[identifier.Job]bool{}}
	none := func() connector.Directory { return connector.Directory{} }
	status, body := callWithDirectory(t, jobs, none, http.MethodPost, "/v1/jobs", `{"id":"j1","queue":"bills","steps":[{"count":1,"size":{"processors":1000}}]}`)
	for _, want := range []string{`"code":"notReady"`, `"effect":"notRun"`, `"retryAfterMillis":1000`, `"j1"`} {
		if status != http.StatusServiceUnavailable || !strings.Contains(body, want) {
			t.Errorf("%d %s, want 503 with %s", status, body, want)
		}
	}
}

// call makes one call to a new server, and returns the status and the body of the response.
func call(t *testing.T, jobs Jobs, method, path, body string) (int, string) {
	t.Helper()
	directory := func() connector.Directory {
		return connector.Directory{Version: 1, Queues: map[identifier.Queue]connector.QueueConfig{"bills": {Name: "bills"}}, Teams: map[identifier.Team]connector.TeamConfig{
			"menders": {Weight: 2, Limit: identifier.Size{Processors: 5000}}, "idle": {Weight: 1},
		}}
	}
	return callWithDirectory(t, jobs, directory, method, path, body)
}

// callWithDirectory is call with the given directory.
func callWithDirectory(t *testing.T, jobs Jobs, directory func() connector.Directory, method, path, body string) (int, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := listener.New(ln, 1000)
	New(jobs, directory, zap.NewNop()).Register(h)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = listener.Run(ctx, h)
	}()
	defer func() { cancel(); <-done }()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+ln.Addr().String()+path, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(out)
}
