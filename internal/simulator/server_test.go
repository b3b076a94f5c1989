package simulator

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dialer"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// serve returns the address of a server with one worker.
func serve(t *testing.T) string {
	t.Helper()
	fleet := NewFleet(1,
		func(connector.RunID) (time.Duration, bool) { return 50 * time.Millisecond, false },
		func(identifier.JobTask) identifier.Size { return identifier.Size{Processors: 1000} })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	fleet.Add(connector.WorkerEntry{ID: "w", Service: "bills", Address: address, DataCentre: "a", Capacity: identifier.Size{Processors: 4000}})
	srv := NewServer(NewStore(1, 1), fleet, connector.Directory{Version: 1, Evacuated: map[identifier.DataCentre]bool{}})
	rpc, err := messenger.Listen(address, srv.Handle, zap.NewNop())
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
	return address
}

func rpcClient(t *testing.T) *messenger.Client {
	c := messenger.NewClient()
	t.Cleanup(c.Close)
	return c
}

// TestErrorsKeepTheirMeaning checks that a caller learns over the wire why a store
// did nothing.
func TestErrorsKeepTheirMeaning(t *testing.T) {
	far := identifier.Offset(99)
	tests := map[string]struct {
		epoch identifier.Epoch
		at    *identifier.Offset
		want  error
	}{
		"repeat":       {2, nil, nil},
		"higher epoch": {3, nil, nil},
		"lower epoch":  {1, nil, connector.ErrFenced},
		"condition":    {3, &far, connector.ErrConflict},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store := dialer.NewStore(rpcClient(t), serve(t))
			put := func(epoch identifier.Epoch, at *identifier.Offset) error {
				_, err := store.Append(t.Context(), connector.KeyedAppend{
					Topic: "work", At: at, Writer: &connector.WriterID{Name: "holder", Epoch: epoch},
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

func TestNobodyAtTheAddress(t *testing.T) {
	if err := dialer.NewStore(rpcClient(t), "127.0.0.1:1").Leave(t.Context(), "g", "m"); !errors.Is(err, connector.ErrNotSent) {
		t.Errorf("error %v, want %v", err, connector.ErrNotSent)
	}
}

// TestWorkerOverTheWire starts a run and looks until its end.
func TestWorkerOverTheWire(t *testing.T) {
	address := serve(t)
	runner := dialer.NewRunner(rpcClient(t))
	to := connector.WorkerTarget{ID: "w", Address: address}
	look, err := runner.Hold(t.Context(), to, connector.HoldOrder{Epoch: 1})
	if err != nil || look.Verdict != connector.VerdictOK {
		t.Fatalf("look %+v, %v", look, err)
	}
	run := connector.RunID{Task: identifier.JobTask{Job: "j"}, Attempt: 1}
	until := look.Clock + connector.WorkerClock(2*time.Second)
	start, err := runner.Start(t.Context(), to, connector.RunOrder{Run: run, Epoch: 1, LeaseUntil: until})
	if err != nil || start.Verdict != connector.VerdictOK {
		t.Fatalf("start %+v, %v", start, err)
	}
	look, err = runner.Hold(t.Context(), to, connector.HoldOrder{Epoch: 1, Wait: time.Second})
	if err != nil || len(look.Ended) != 1 || look.Ended[0].Run != run || look.Ended[0].How != connector.EndDone {
		t.Fatalf("look %+v, %v; want the end of the run", look, err)
	}
	if fenced, err := runner.Stop(t.Context(), to, run, 0); err != nil || fenced.Verdict != connector.VerdictFenced {
		t.Errorf("stop under a lower epoch %+v, %v", fenced, err)
	}
}

// TestDirectoryShowsEvacuations checks that an evacuation is seen and taken back.
func TestDirectoryShowsEvacuations(t *testing.T) {
	address, rpc := serve(t), rpcClient(t)
	seen := make(chan connector.Directory, 100)
	d := dialer.NewDirectory(rpc, address, zap.NewNop(), func(d connector.Directory) { seen <- d })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = d.Run(ctx) }()
	await := func(out bool) {
		for got := range seen {
			if got.Evacuated["a"] == out {
				return
			}
		}
	}
	await(false)
	for _, out := range []bool{true, false} {
		var answer connector.Directory
		if err := rpc.Call(ctx, address, messenger.MethodEvacuate, EvacuateCall{"a", out}, &answer); err != nil {
			t.Fatal(err)
		}
		await(out)
	}
	if got := d.Current(); len(got.Workers) != 1 || got.WorkersSeen.IsZero() {
		t.Errorf("directory %+v, want one worker and when it was seen", got)
	}
}
