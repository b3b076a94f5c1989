package router

import (
	"fmt"
	"testing"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// BenchmarkChooseMinion chooses among the minions of one owner and gives the
// slot back.
func BenchmarkChooseMinion(b *testing.B) {
	for _, minions := range []int{8, 65, 400} {
		b.Run(fmt.Sprintf("minions=%d", minions), func(b *testing.B) {
			r := newTestRouter("e1", minions)
			tried := NewExclusions()
			for range b.N {
				c, ok := r.Choose("desk", tried, false).(Local)
				if !ok {
					b.Fatal("no minion")
				}
				c.Done(ResultAnswered)
			}
		})
	}
}

// BenchmarkMembership takes a new membership over the minions of a data centre.
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
