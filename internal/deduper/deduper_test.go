package deduper

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

func TestRegisterAcceptsOneSendOnly(t *testing.T) {
	const id, other identifier.Request = "booking", "another"
	tests := map[string]struct {
		before func(d *Deduper)
		want   bool
	}{
		"new":                          {func(*Deduper) {}, true},
		"other request registered":     {func(d *Deduper) { d.Register(other, "first") }, true},
		"registered by another send":   {func(d *Deduper) { d.Register(id, "first") }, false},
		"registered by the same send":  {func(d *Deduper) { d.Register(id, "second") }, true},
		"deregistered by its send":     {func(d *Deduper) { d.Register(id, "first"); d.Deregister(id, "first") }, true},
		"deregistered by another send": {func(d *Deduper) { d.Register(id, "first"); d.Deregister(id, "third") }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := New()
			tt.before(d)
			if got := d.Register(id, "second"); got != tt.want {
				t.Errorf("registered %v, want %v", got, tt.want)
			}
		})
	}
}

func TestIDsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New()
		d.Register("a", "first")
		time.Sleep(Retention - time.Second)
		if got := d.KnownRequests(); !slices.Equal(got, []identifier.Request{"a"}) {
			t.Errorf("known %v before Retention has passed, want a", got)
		}
		time.Sleep(2 * time.Second)
		if got := d.KnownRequests(); len(got) > 0 {
			t.Errorf("known %v after Retention has passed, want none", got)
		}
	})
}
