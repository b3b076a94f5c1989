package carrier

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestHeartbeatsCarryConfigVersions guards against a host that does not learn of a newer configuration
// from a holder for which it calls workers, or a holder that does not learn of it from its hosts.
func TestHeartbeatsCarryConfigVersions(t *testing.T) {
	toHolder, toHost := make(chan identifier.ConfigVersion, 100), make(chan identifier.ConfigVersion, 100)
	version := func(v identifier.ConfigVersion) func() identifier.ConfigVersion {
		return func() identifier.ConfigVersion { return v }
	}
	observe := func(c chan identifier.ConfigVersion) func(identifier.ConfigVersion) {
		return func(v identifier.ConfigVersion) {
			select {
			case c <- v:
			default:
			}
		}
	}
	s := newTestHolder(t, 0, WithConfigVersions(version(7), observe(toHolder)))
	s.addHost(t, "h1", WithHostConfigVersions(version(5), observe(toHost)))
	for name, tt := range map[string]struct {
		heard chan identifier.ConfigVersion
		want  identifier.ConfigVersion
	}{"holder": {toHolder, 5}, "host": {toHost, 7}} {
		select {
		case got := <-tt.heard:
			if got != tt.want {
				t.Errorf("the %s hears of version %d, want %d", name, got, tt.want)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("the %s has heard of no version in 5s", name)
		}
	}
}
