package supervisor

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/renewer"
)

// TestHostsTellHowLongAgoATakeoverBegan guards against a cell's clock that loses the time since a
// holder which ended in its takeover: the hosts that it asked for the clock tell the next one when
// that was.
func TestHostsTellHowLongAgoATakeoverBegan(t *testing.T) {
	const pause = 20 * time.Millisecond
	s := &Supervisor{}
	ask := func(r clockRequest) renewer.ClockEstimate {
		t.Helper()
		params, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := s.handleClock(params)
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(answer)
		if err != nil {
			t.Fatal(err)
		}
		var out renewer.ClockEstimate
		if err := json.Unmarshal(data, &out); err != nil {
			t.Fatal(err)
		}
		return out
	}
	ask(clockRequest{Cell: 1, Takeover: "first"})
	time.Sleep(pause)
	got := ask(clockRequest{Cell: 1, Takeover: "second"})
	if age, ok := got.Takeovers["first"]; !ok || age < pause {
		t.Errorf("takeovers %v, want the first one, at least %v ago", got.Takeovers, pause)
	}
	if got := ask(clockRequest{Cell: 2}); len(got.Takeovers) > 0 {
		t.Errorf("takeovers %v of another cell, want none", got.Takeovers)
	}
}
