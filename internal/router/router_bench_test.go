package router

import (
	"fmt"
	"testing"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// BenchmarkChooseMinion measures choosing one of the minions of a single owner and returning its
// slot.
func BenchmarkChooseMinion(b *testing.B) {
	for _, minions := range []int{8, 65, 400} {
		b.Run(fmt.Sprintf("minions=%d", minions), func(b *testing.B) {
			r := newTestRouter("e1", minions)
			tried := NewExclusions()
			for range b.N {
				c, ok := r.Choose("desk", tried, false).(Local)
				if !ok {
					b.Fatal("no minion can be chosen")
				}
				c.Done(ResultAnswered)
			}
		})
	}
}

// BenchmarkMembership measures a change of the membership, which reassigns the minions of a data
// centre to the entry hosts.
func BenchmarkMembership(b *testing.B) {
	for _, minions := range []int{8, 65, 400} {
		b.Run(fmt.Sprintf("minions=%d", minions), func(b *testing.B) {
			r := newTestRouter("e1", minions)
			var members []identifier.Entry
			for i := range 8 {
				members = append(members, identifier.Entry(fmt.Sprint("e", i)))
			}
			for range b.N {
				r.SetMembers(members, nil)
			}
		})
	}
}
