package deduper

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

func TestOneSendRegisters(t *testing.T) {
	const id, other identifier.Request = "booking", "another"
	tests := map[string]struct {
		before func(d *Deduper)
		want   bool
	}{
		"new":                              {func(*Deduper) {}, true},
		"another request":                  {func(d *Deduper) { d.Register(other, "first") }, true},
		"sent before":                      {func(d *Deduper) { d.Register(id, "first") }, false},
		"the same send again":              {func(d *Deduper) { d.Register(id, "second") }, true},
		"given up by its send":             {func(d *Deduper) { d.Register(id, "first"); d.Deregister(id, "first") }, true},
		"given up by a send that was late": {func(d *Deduper) { d.Register(id, "first"); d.Deregister(id, "third") }, false},
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

func TestIdentitiesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New()
		d.Register("a", "first")
		time.Sleep(Retention - time.Second)
		if got := d.KnownRequests(); !slices.Equal(got, []identifier.Request{"a"}) {
			t.Errorf("known %v before their time, want a", got)
		}
		time.Sleep(2 * time.Second)
		if got := d.KnownRequests(); len(got) > 0 {
			t.Errorf("known %v after their time", got)
		}
	})
}
