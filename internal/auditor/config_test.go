package auditor

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/drafter"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestConfigChecksFindBreaches checks that the audit finds a host that goes back to an older
// configuration or does not have a new one in force in time, and only those.
func TestConfigChecksFindBreaches(t *testing.T) {
	answer := func(version identifier.ConfigVersion, sent, answered float64) ConfigAnswer {
		return ConfigAnswer{Host: 1, Sent: sec(sent), Answered: sec(answered), Version: version}
	}
	tests := map[string]struct {
		answers []ConfigAnswer
		fault   drafter.Fault
		want    string
	}{
		"rises":                {answers: []ConfigAnswer{answer(1, 11, 11.1), answer(2, 13, 13.1)}},
		"goes back":            {answers: []ConfigAnswer{answer(2, 10, 10.1), answer(1, 11, 11.1)}, want: "config"},
		"answers overlap":      {answers: []ConfigAnswer{answer(2, 10, 10.5), answer(1, 10.2, 10.6)}},
		"late":                 {answers: []ConfigAnswer{answer(1, 12.1, 12.2)}, want: "inForce"},
		"just in time":         {answers: []ConfigAnswer{answer(1, 11.9, 13)}},
		"late beside a fault":  {answers: []ConfigAnswer{answer(1, 12.1, 12.2)}, fault: drafter.StoreForgets{}},
		"goes back in a fault": {answers: []ConfigAnswer{answer(2, 10, 10.1), answer(1, 11, 11.1)}, fault: drafter.StoreForgets{}, want: "config"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := History{Began: startTime, ConfigAnswers: tt.answers, Publications: []Publication{{1, sec(1)}, {2, sec(10)}}}
			if tt.fault != nil {
				h.Plan.Faults = []drafter.FaultEvent{{At: 9 * time.Second, For: 2 * time.Second, Fault: tt.fault}}
			}
			breaches := Check(h)
			if tt.want == "" && len(breaches) > 0 || tt.want != "" && (len(breaches) != 1 || breaches[0].Check != tt.want) {
				t.Errorf("breaches %v, want %q", breaches, tt.want)
			}
		})
	}
}
