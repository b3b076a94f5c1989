package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dialer"
	"github.com/balsamcove/balsamcove/internal/emulator"
	"github.com/balsamcove/balsamcove/pkg/client"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

type verifyCommand struct {
	Outcomes []string      `help:"Files with outcomes of requests." sep:","`
	Hosts    string        `help:"Address of the host list." default:"127.0.0.1:7002"`
	Server   []string      `help:"Administration addresses of entry hosts." sep:","`
	Limit    time.Duration `help:"How long to wait for submitted tasks to end." default:"20s"`
}

// violations collects descriptions of broken guarantees.
type violations []string

func (v *violations) add(format string, args ...any) { *v = append(*v, fmt.Sprintf(format, args...)) }

// Run checks that what the stand-ins recorded agrees with what callers were answered, and fails
// with a list of violations if it does not.
func (c *verifyCommand) Run(ctx context.Context) error {
	http, err := dialer.NewHTTP()
	if err != nil {
		return err
	}
	hosts, err := dialer.NewHostList(http, c.Hosts).List(ctx)
	if err != nil {
		return err
	}
	var v violations
	done, err := c.awaitTasks(ctx)
	if err != nil {
		return err
	}
	checkRequests(ctx, http, hosts, c.Outcomes, &v)
	checkTasks(ctx, http, hosts, done, &v)
	if len(v) > 0 {
		return errors.Newf("%d violations:\n%s", len(v), strings.Join(v, "\n"))
	}
	return nil
}

// awaitTasks waits until all tasks whose ID begins with run- have ended, and returns the tasks that
// are done. It fails after the time limit.
func (c *verifyCommand) awaitTasks(ctx context.Context) ([]client.Task, error) {
	cl, err := client.New(c.Server)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(c.Limit); ; time.Sleep(200 * time.Millisecond) {
		tasks, err := cl.Tasks(ctx, "", "")
		if err != nil {
			return nil, err
		}
		var done []client.Task
		unfinished := 0
		for _, t := range tasks.Tasks {
			switch {
			case t.Outcome == "done":
				done = append(done, t)
			case t.State != "ended" && strings.HasPrefix(string(t.ID), "run-"):
				unfinished++
			}
		}
		if unfinished == 0 {
			return done, nil
		}
		if time.Now().After(deadline) {
			return nil, errors.Newf("%d tasks have not ended after %s", unfinished, c.Limit)
		}
	}
}

// checkRequests compares the outcomes that callers recorded with the requests that the minions
// served, and checks that no minion exceeded its slots or connections.
func checkRequests(ctx context.Context, http *dialer.HTTP, hosts connector.Hosts, files []string, v *violations) {
	executions := map[identifier.Request]int{}
	peakSlots, peakConns := 0, 0
	for _, m := range hosts.Minions {
		var h emulator.MinionHistory
		if err := http.Post(ctx, m.Address, emulator.PathHistory, struct{}{}, &h); err != nil {
			continue
		}
		peakSlots, peakConns = max(peakSlots, h.PeakSlots), max(peakConns, h.PeakConnections)
		if h.PeakSlots > m.Slots || h.PeakConnections > m.Connections {
			v.add("minion %s used %d slots and %d connections", m.ID, h.PeakSlots, h.PeakConnections)
		}
		for _, s := range h.Served {
			executions[s.Request]++
		}
	}
	counts := map[string]int{}
	for _, o := range readOutcomes(files, v) {
		checkOutcome(o, executions[o.ID], counts, v)
	}
	fmt.Printf("%-10s answered %d  notRun %d  unknown %d  busiest minion %d of 8 slots, %d of 64 connections\n",
		"requests", counts["ok"], counts["notRun"], counts["unknown"], peakSlots, peakConns)
}

func readOutcomes(files []string, v *violations) []outcome {
	var out []outcome
	for _, f := range files {
		var part []outcome
		data, err := os.ReadFile(f)
		if err == nil {
			err = json.Unmarshal(data, &part)
		}
		if err != nil {
			v.add("outcomes %s: %v", f, err)
		}
		out = append(out, part...)
	}
	return out
}

// checkOutcome checks one outcome against how often the minions executed the request. It ignores
// executions of a refused request that is not idempotent, as the request may have been sent twice
// and only one of the two refused.
func checkOutcome(o outcome, executions int, counts map[string]int, v *violations) {
	switch {
	case o.OK:
		counts["ok"]++
		if !o.BodyMatches {
			v.add("request %s got another answer than its own", o.ID)
		}
		if executions == 0 {
			v.add("request %s was answered and never executed", o.ID)
		}
	case o.Effect == refuser.NotRun:
		counts["notRun"]++
		if executions > 0 && o.Idempotent {
			v.add("request %s was refused as not run and executed %d times", o.ID, executions)
		}
	default:
		counts["unknown"]++
	}
	if !o.Idempotent && executions > 1 {
		v.add("non-idempotent request %s was executed %d times", o.ID, executions)
	}
}

// checkTasks checks the runs that the workers recorded: no worker exceeded its capacity, no task
// had two runs at once, and every task that is done was executed to its end exactly once.
func checkTasks(ctx context.Context, http *dialer.HTTP, hosts connector.Hosts, done []client.Task, v *violations) {
	var events []emulator.Event
	for _, w := range hosts.Workers {
		var h emulator.WorkerHistory
		if err := http.Post(ctx, w.Address, emulator.PathEvents, struct{}{}, &h); err != nil {
			v.add("worker %s: %v", w.ID, err)
			continue
		}
		if !h.Peak.Fits(w.Capacity) {
			v.add("worker %s ran %s of %s", w.ID, h.Peak, w.Capacity)
		}
		events = append(events, h.Events...)
	}
	for _, violation := range emulator.CheckRuns(events, func(identifier.Task) bool { return false }) {
		v.add("%s", violation)
	}
	finished := map[identifier.Task]int{}
	starts := 0
	for _, e := range events {
		switch e.Step {
		case emulator.StepDone:
			finished[e.Task]++
		case emulator.StepStart:
			starts++
		}
	}
	for _, t := range done {
		if finished[t.ID] != 1 {
			v.add("task %s is done and was executed to its end %d times", t.ID, finished[t.ID])
		}
	}
	fmt.Printf("%-10s done %d, each once  starts %d  workers %d\n", "tasks", len(done), starts, len(hosts.Workers))
}
