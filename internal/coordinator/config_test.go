package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/emulator"
	"github.com/balsamcove/balsamcove/internal/publisher"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// publishInput is a publication that changes a base version.
type publishInput struct{ base identifier.ConfigVersion }

// publishOutput is what its operator was told.
type publishOutput struct {
	accepted, conflict, notRun bool
	version                    identifier.ConfigVersion
}

// versionModel is a register of the version in force: a publication succeeds
// exactly if its base is in force; one of unknown outcome may have done so.
func versionModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return identifier.ConfigVersion(1) },
		Step: func(state, input, output any) (bool, any) {
			v, _ := state.(identifier.ConfigVersion)
			in, _ := input.(publishInput)
			out, _ := output.(publishOutput)
			switch {
			case out.accepted:
				return in.base == v && out.version == v+1, v + 1
			case out.conflict:
				return in.base != v, v
			case out.notRun:
				return true, v
			case in.base == v:
				return true, v + 1
			default:
				return true, v
			}
		},
	}
}

// operators race: each publishes against the version that its host shows.
func (tr *trial) raceOperators(rounds int) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	for client, name := range tr.names {
		group.Add(1)
		go func() {
			defer group.Done()
			for round := range rounds {
				time.Sleep(time.Duration(200+client*7) * time.Millisecond)
				op, ok := tr.raceOnce(client, name, round)
				if ok {
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
				}
			}
		}()
	}
	group.Wait()
	return history
}

func (tr *trial) raceOnce(client int, name string, round int) (porcupine.Operation, bool) {
	tr.turn.Lock()
	h, up := tr.hosts[name]
	tr.turn.Unlock()
	if !up || !h.Status().CaughtUp {
		return porcupine.Operation{}, false
	}
	base := h.Status().Version
	p := Publication{ID: identifier.Publication(fmt.Sprintf("p-%s-%d", name, round)), Base: base, Author: name}
	p.Sources = []parser.Source{{Text: fmt.Sprintf("kind: team\nname: team-%s-%d\nquota: {processors: 1}\n", name, round)}}
	call := time.Now().UnixNano()
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	change, err := h.Publish(ctx, p)
	out := publishOutput{accepted: err == nil, version: change.Version}
	refusal := &refuser.Refusal{}
	if errors.As(err, &refusal) {
		out.conflict = refusal.Code == refuser.CodeConflict
		out.notRun = !out.conflict && refusal.Effect == refuser.NotRun
	}
	end := time.Now().UnixNano()
	if err != nil && !out.conflict && !out.notRun {
		end = time.Now().Add(time.Hour).UnixNano()
	}
	return porcupine.Operation{ClientId: client, Input: publishInput{base}, Call: call, Output: out, Return: end}, true
}

func TestPublicationsAreLinearizable(t *testing.T) {
	kinds := []emulator.FaultKind{emulator.FaultKill, emulator.FaultCutLog, emulator.FaultLogDown, emulator.FaultLogSlow, emulator.FaultLogLossy, emulator.FaultFreeze}
	for seed := *seedFlag; seed < *seedFlag+*seedsFlag; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			plan := emulator.RandomFaults(seed, 6, 10*time.Second, 4*time.Second, 4, kinds...)
			synctest.Test(t, func(t *testing.T) {
				tr := newTrial(t, 1)
				defer tr.stopAll()
				var history []porcupine.Operation
				raced := make(chan struct{})
				go func() {
					history = tr.raceOperators(40)
					close(raced)
				}()
				tr.run(plan, 10*time.Second)
				<-raced
				if !porcupine.CheckOperations(versionModel(), history) {
					t.Errorf("seed %d: %d publications are not linearizable; plan %v", seed, len(history), plan)
				}
				tr.finish()
			})
		})
	}
}

func TestSentAgainPublicationKeepsItsVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stopAll()
		h := c.start("a1", "a")
		time.Sleep(2 * time.Second)
		c.mustPublish(h, baseConfig)
		c.log.SetFaults(emulator.LogFaults{LoseAnswers: 1, Seed: 1})
		p := Publication{ID: "p-1", Base: 1, Sources: []parser.Source{{Text: drainText("a", parser.Drained)}}}
		var changes []publisher.Change
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			change, err := h.Publish(ctx, p)
			cancel()
			if err != nil {
				t.Fatal(err)
			}
			changes = append(changes, change)
		}
		if changes[0].Version != 2 || changes[2].Version != 2 || h.Status().Version != 2 {
			t.Errorf("versions %d and %d, in force %d; want 2", changes[0].Version, changes[2].Version, h.Status().Version)
		}
	})
}

func TestExpiredRecordsAndReplacedHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.stopAll()
		h := c.start("a1", "a")
		c.start("a2", "a")
		time.Sleep(2 * time.Second)
		c.mustPublish(h, baseConfig)
		c.mustSubmit(h, "watch-1", "watches")
		c.mustSubmit(h, "run-1", "runs")
		const retention = 5 * time.Minute
		for range 60 {
			time.Sleep(30 * time.Second)
			c.log.Expire(retention)
		}
		c.kill("a1")
		c.kill("a2")
		for range 4 {
			time.Sleep(time.Minute)
			c.log.Expire(retention)
		}
		h = c.start("a3", "a")
		c.await(5*time.Second, "new host caught up", func() bool { return h.Status().CaughtUp })
		if h.Status().Version != 1 {
			t.Errorf("version %d in force, want 1", h.Status().Version)
		}
		c.await(5*time.Second, "watch claimed again", func() bool {
			p, err := h.Progress("a")
			return err == nil && p.Claimed == 1
		})
		c.check()
	})
}

func TestLostStateIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stopAll()
		h := c.start("a1", "a")
		time.Sleep(2 * time.Second)
		c.mustPublish(h, baseConfig)
		c.kill("a1")
		time.Sleep(time.Second)
		time.Sleep(time.Minute)
		c.log.Expire(time.Second)
		h = c.start("a2", "a")
		time.Sleep(2 * time.Second)
		if h.Status().CaughtUp {
			t.Error("a host without the configuration's records says that it has caught up")
		}
	})
}
