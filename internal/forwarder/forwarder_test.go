package forwarder

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/router"
	"github.com/balsamcove/balsamcove/pkg/checker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// exchangeOutcome is the result of one exchange with a minion.
type exchangeOutcome int

const (
	outcomeAnswered exchangeOutcome = iota
	outcomeNotSent
	outcomeBusy
	outcomeLostBeforeRun
	outcomeLostAfterRun
	outcomeNoAnswer
	outcomeCount
)

// fakeMinions is a set of minions whose exchanges end with the given outcomes in turn, and all
// later ones with an answer. It counts sends and executions.
type fakeMinions struct {
	outcomes   []exchangeOutcome
	next       int
	executions int
	sends      int
}

type fakeConn struct{ minions *fakeMinions }

func (c fakeConn) Close() error { return nil }

func (c fakeConn) Do(ctx context.Context, r connector.MinionRequest) (connector.MinionAnswer, error) {
	outcome := outcomeAnswered
	if c.minions.next < len(c.minions.outcomes) {
		outcome = c.minions.outcomes[c.minions.next]
	}
	c.minions.next++
	c.minions.sends++
	switch outcome {
	case outcomeNotSent:
		return connector.MinionAnswer{}, errors.Mark(errors.New("stale connection"), connector.ErrNotSent)
	case outcomeBusy:
		return connector.MinionAnswer{Status: 503}, errors.Mark(errors.New("busy"), connector.ErrRefused)
	case outcomeLostBeforeRun:
		return connector.MinionAnswer{}, errors.Mark(errors.New("reset"), connector.ErrUnknown)
	case outcomeLostAfterRun:
		c.minions.executions++
		return connector.MinionAnswer{}, errors.Mark(errors.New("reset"), connector.ErrUnknown)
	case outcomeNoAnswer:
		c.minions.executions++
		<-ctx.Done()
		return connector.MinionAnswer{}, errors.Mark(ctx.Err(), connector.ErrUnknown)
	default:
		c.minions.executions++
		return connector.MinionAnswer{Status: 200, Body: r.Body}, nil
	}
}

// newFakeMinions returns the minions and a forwarder to them whose retry budget is filled.
func newFakeMinions(t testing.TB, minions int, outcomes []exchangeOutcome) (*fakeMinions, *Forwarder) {
	t.Helper()
	fake := &fakeMinions{outcomes: outcomes}
	r := router.New("e1", "a")
	r.SetConfig(checker.NewSet(&parser.Service{Name: "desk", Policy: "p"}, &parser.DataCentre{Name: "a", State: parser.InService}))
	var hosts []connector.MinionHost
	for i := range minions {
		hosts = append(hosts, connector.MinionHost{
			ID: identifier.Minion(fmt.Sprint("m", i)), DataCentre: "a", Services: []identifier.Service{"desk"},
			Slots: 8, Connections: 64, State: connector.HostLive,
		})
	}
	r.SetHosts(hosts)
	dial := func(context.Context, string) (connector.MinionConn, error) { return fakeConn{fake}, nil }
	f := New(r, dial, nil)
	for range 100 {
		f.budget.Deposit()
	}
	return fake, f
}

// TestRefusalEffectMatchesExecutions lets exchanges fail in random orders and checks that a
// non-idempotent request is executed at most once, and that a request refused as not run was not
// executed.
func TestRefusalEffectMatchesExecutions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.IntRange(0, int(outcomeCount)-1), 0, 6).Draw(rt, "outcomes")
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		minions := rapid.IntRange(1, 6).Draw(rt, "minions")
		var outcomes []exchangeOutcome
		for _, f := range drawn {
			outcomes = append(outcomes, exchangeOutcome(f))
		}
		var fake *fakeMinions
		var err error
		synctest.Test(t, func(t *testing.T) {
			var f *Forwarder
			fake, f = newFakeMinions(t, minions, outcomes)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err = f.Do(ctx, Request{ID: "r", Service: "desk", Idempotent: idempotent, Body: []byte("b")}, false)
		})
		switch {
		case !idempotent && fake.executions > 1:
			rt.Fatalf("a non-idempotent request was executed %d times", fake.executions)
		case fake.sends > maxSends+maxBusyAnswers:
			rt.Fatalf("sent %d times", fake.sends)
		case err == nil && fake.executions == 0:
			rt.Fatal("answered and never executed")
		case err != nil && refuser.From(err).Effect == refuser.NotRun && fake.executions > 0:
			rt.Fatalf("refused as not run (%v) and executed", err)
		}
	})
}

// TestUnknownEffectSurvivesLaterFailures guards against a refusal that says "not run" after the
// first answer was lost and all later sends failed without effect: the request was executed.
func TestUnknownEffectSurvivesLaterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, f := newFakeMinions(t, 6, []exchangeOutcome{outcomeLostAfterRun, outcomeNotSent, outcomeBusy, outcomeNotSent, outcomeNotSent})
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		_, err := f.Do(ctx, Request{ID: "r", Service: "desk", Idempotent: true}, false)
		if err == nil || refuser.From(err).Effect != refuser.Unknown || fake.executions != 1 {
			t.Errorf("error %v after %d executions, want one of unknown effect after 1", err, fake.executions)
		}
	})
}

// TestRetriesStayWithinBudget checks that retries add at most a fifth to the sends if every
// exchange fails.
func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 2000
		all := make([]exchangeOutcome, requests*maxSends)
		for i := range all {
			all[i] = outcomeNotSent
		}
		fake, f := newFakeMinions(t, 40, all)
		for range requests {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			_, _ = f.Do(ctx, Request{ID: "r", Service: "desk", Idempotent: true}, false)
			cancel()
		}
		if limit := requests * 12 / 10; fake.sends > limit {
			t.Errorf("%d sends for %d requests, want at most %d", fake.sends, requests, limit)
		}
	})
}
