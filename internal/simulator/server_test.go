package simulator

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dialer"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// newServer returns a server and its fleet of workers with four cores, whose runs take 50 ms.
func newServer(workers ...identifier.Worker) (*Server, *Fleet) {
	fleet := NewFleet(1,
		func(connector.RunID) (time.Duration, bool) { return 50 * time.Millisecond, false },
		func(identifier.JobTask) identifier.Size { return identifier.Size{Processors: 1000} })
	for _, w := range workers {
		fleet.Add(connector.WorkerEntry{ID: w, Service: "bills", DataCentre: "a", Capacity: identifier.Size{Processors: 4000}})
	}
	return NewServer(NewStore(1, 1), fleet, connector.Directory{Version: 1, Evacuated: map[identifier.DataCentre]bool{}}), fleet
}

// serve returns the address of a server with one worker.
func serve(t *testing.T) string {
	t.Helper()
	srv, _ := newServer("w")
	rpc, err := messenger.Listen("127.0.0.1:0", srv.Handle, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = rpc.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return rpc.Address()
}

func rpcClient(t *testing.T) *messenger.Client {
	c := messenger.NewClient()
	t.Cleanup(c.Close)
	return c
}

// TestStoreErrorsOverTheWire checks that the client can tell from the error why an append was
// rejected.
func TestStoreErrorsOverTheWire(t *testing.T) {
	wrongEnd := identifier.Offset(99)
	tests := map[string]struct {
		epoch identifier.Epoch
		at    *identifier.Offset
		want  error
	}{
		"repeat":       {2, nil, nil},
		"higher epoch": {3, nil, nil},
		"lower epoch":  {1, nil, connector.ErrFenced},
		"condition":    {3, &wrongEnd, connector.ErrConflict},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store := dialer.NewStore(rpcClient(t), serve(t))
			put := func(epoch identifier.Epoch, at *identifier.Offset) error {
				_, err := store.Append(t.Context(), connector.KeyedAppend{
					Topic: "work", ExpectedEnd: at, Writer: &connector.WriterID{Name: "holder", Epoch: epoch},
					Records: []connector.KeyedRecord{{Key: "k", Value: []byte("v")}},
				})
				return err
			}
			if err := put(2, nil); err != nil {
				t.Fatal(err)
			}
			if err := put(tt.epoch, tt.at); !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
			page, err := store.Newest(t.Context(), "work", 0, "")
			if err != nil || len(page.Records) != 1 || string(page.Records[0].Value) != "v" {
				t.Errorf("newest %+v, %v; want one record", page, err)
			}
		})
	}
}

func TestConnectionRefusedIsNotSent(t *testing.T) {
	if err := dialer.NewStore(rpcClient(t), "127.0.0.1:1").Leave(t.Context(), "g", "m"); !errors.Is(err, connector.ErrNotSent) {
		t.Errorf("error %v, want %v", err, connector.ErrNotSent)
	}
}

// TestWorkerOverTheWire starts a run and waits for its end with Hold.
func TestWorkerOverTheWire(t *testing.T) {
	address := serve(t)
	runner := dialer.NewRunner(rpcClient(t))
	to := connector.WorkerTarget{ID: "w", Address: address}
	hold, err := runner.Hold(t.Context(), to, connector.HoldOrder{Epoch: 1})
	if err != nil || hold.Verdict != connector.VerdictOK {
		t.Fatalf("look %+v, %v", hold, err)
	}
	run := connector.RunID{Task: identifier.JobTask{Job: "j"}, Attempt: 1}
	until := hold.Clock + connector.WorkerClock(2*time.Second)
	start, err := runner.Start(t.Context(), to, connector.RunOrder{Run: run, Epoch: 1, LeaseUntil: until})
	if err != nil || start.Verdict != connector.VerdictOK {
		t.Fatalf("start %+v, %v", start, err)
	}
	hold, err = runner.Hold(t.Context(), to, connector.HoldOrder{Epoch: 1, Wait: time.Second})
	if err != nil || len(hold.Ended) != 1 || hold.Ended[0].Run != run || hold.Ended[0].Reason != connector.EndDone {
		t.Fatalf("look %+v, %v; want the end of the run", hold, err)
	}
	if fenced, err := runner.Stop(t.Context(), to, run, 0); err != nil || fenced.Verdict != connector.VerdictFenced {
		t.Errorf("stop under a lower epoch %+v, %v", fenced, err)
	}
}

// TestDirectoryShowsEvacuations checks that directory clients see an evacuation and its end.
func TestDirectoryShowsEvacuations(t *testing.T) {
	address, rpc := serve(t), rpcClient(t)
	seen := make(chan connector.Directory, 100)
	d := dialer.NewDirectory(rpc, address, zap.NewNop(), func(d connector.Directory) { seen <- d })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = d.Run(ctx) }()
	awaitEvacuated := func(out bool) {
		for got := range seen {
			if got.Evacuated["a"] == out {
				return
			}
		}
	}
	awaitEvacuated(false)
	for _, out := range []bool{true, false} {
		var answer connector.Directory
		if err := rpc.Call(ctx, address, messenger.MethodEvacuate, EvacuateCall{"a", out}, &answer); err != nil {
			t.Fatal(err)
		}
		awaitEvacuated(out)
	}
	if got := d.Current(); len(got.Workers) != 1 || got.WorkersReadAt.IsZero() {
		t.Errorf("directory %+v, want one worker and when it was seen", got)
	}
}

// TestFaultsOverTheWire checks that faults can be injected into the store and workers by a call,
// and that the store refuses only the named host.
func TestFaultsOverTheWire(t *testing.T) {
	ctx := t.Context()
	srv, fleet := newServer("w")
	call := func(host string, method messenger.Method, in any) error {
		params, err := json.Marshal(in)
		if err != nil {
			t.Fatal(err)
		}
		_, err = srv.HandlerOf(host)(ctx, method, params)
		return err
	}
	appendOnce := func(host string) error {
		return call(host, messenger.MethodAppend, connector.KeyedAppend{Topic: "t", Records: []connector.KeyedRecord{{Key: "k", Value: []byte("v")}}})
	}
	if err := call("soak", messenger.MethodFaults, FaultsCall{
		Store: StoreFaults{Refused: map[string]bool{"h1": true}}, Workers: map[identifier.Worker]WorkerFaults{"w": {Unlisted: true}},
	}); err != nil {
		t.Fatal(err)
	}
	if err := appendOnce("h1"); err == nil {
		t.Error("append by the refused host succeeded")
	}
	if err := appendOnce("h2"); err != nil {
		t.Errorf("another host: %v", err)
	}
	if len(fleet.Entries()) != 0 {
		t.Error("the worker is listed")
	}
	if err := call("soak", messenger.MethodFaults, FaultsCall{Leave: []identifier.Worker{"w"}}); err != nil {
		t.Fatal(err)
	}
	if err := appendOnce("h1"); err != nil {
		t.Errorf("after the fault: %v", err)
	}
	if err := call("soak", messenger.MethodFaults, FaultsCall{Return: []identifier.Worker{"w"}}); err != nil {
		t.Fatal(err)
	}
	if len(fleet.Entries()) != 1 {
		t.Error("the worker is not listed")
	}
}

// TestFleetRecordsBreaches sends workers orders that violate the scheduler's guarantees, and
// checks that the fleet records each violation.
func TestFleetRecordsBreaches(t *testing.T) {
	run := func(task int, attempt identifier.Attempt) connector.RunID {
		return connector.RunID{Task: identifier.JobTask{Job: "j", Index: task}, Attempt: attempt}
	}
	tests := map[string]struct {
		sendOrders func(start func(w identifier.Worker, run connector.RunID), end func(w identifier.Worker, run connector.RunID))
		want       string
	}{
		"nothing wrong": {func(start, _ func(identifier.Worker, connector.RunID)) { start("w1", run(0, 1)) }, ""},
		"twice at once": {func(start, _ func(identifier.Worker, connector.RunID)) {
			start("w1", run(0, 1))
			start("w2", run(0, 2))
		}, "runs twice"},
		"after it was done": {func(start, end func(identifier.Worker, connector.RunID)) {
			start("w1", run(0, 1))
			end("w1", run(0, 1))
			start("w2", run(0, 2))
		}, "after it was done"},
		"past the capacity": {func(start, _ func(identifier.Worker, connector.RunID)) {
			for i := range 5 {
				start("w1", run(i, 1))
			}
		}, "runs 5 processors"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, fleet := newServer("w1", "w2")
				runner, cut := fleet.Client()
				defer cut()
				hold := func(w identifier.Worker, o connector.HoldOrder) connector.HoldAnswer {
					a, err := runner.Hold(t.Context(), connector.WorkerTarget{ID: w}, o)
					if err != nil {
						t.Fatal(err)
					}
					return a
				}
				start := func(w identifier.Worker, run connector.RunID) {
					until := hold(w, connector.HoldOrder{Epoch: 1}).Clock + connector.WorkerClock(time.Minute)
					a, err := runner.Start(t.Context(), connector.WorkerTarget{ID: w}, connector.RunOrder{Run: run, Epoch: 1, LeaseUntil: until})
					if err != nil || a.Verdict != connector.VerdictOK {
						t.Fatalf("start %+v, %v", a, err)
					}
				}
				end := func(w identifier.Worker, run connector.RunID) {
					time.Sleep(time.Second)
					for _, e := range hold(w, connector.HoldOrder{Epoch: 1}).Ended {
						if e.Run == run {
							hold(w, connector.HoldOrder{Epoch: 1, Forget: e.Number})
						}
					}
				}
				tt.sendOrders(start, end)
				got := strings.Join(fleet.Breaches(), "\n")
				if (got == "") != (tt.want == "") || !strings.Contains(got, tt.want) {
					t.Errorf("breaches %q, want one with %q", got, tt.want)
				}
				if events := fleet.Events(0, 100); len(events) == 0 || events[0].How != "" || events[0].Run != run(0, 1) {
					t.Errorf("events %+v, want the start first", events)
				}
			})
		})
	}
}
