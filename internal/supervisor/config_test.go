package supervisor

import (
	"context"
	"testing"

	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestNewestConfigurationOfOtherHosts checks that a host is told the record of the newest configuration
// of those that answer, and none if no host has a newer one.
func TestNewestConfigurationOfOtherHosts(t *testing.T) {
	_, _, hosts := newCluster(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for len(hosts[0].hostsToAsk()) < len(hosts)-1 {
		if ctx.Err() != nil {
			t.Fatal("other hosts are not known")
		}
		sleeper.Pause(ctx, hostsCheckInterval)
	}
	hosts[1].directory.(*directory).version.Store(5)
	for version, want := range map[identifier.ConfigVersion]string{0: "record", 4: "record", 5: "", 6: ""} {
		got, from := hosts[0].NewerConfig(ctx, version)
		if string(got) != want || want != "" && from != hosts[1].settings.PeerAddress {
			t.Errorf("record %q of %s newer than version %d, want %q of %s", got, from, version, want, hosts[1].settings.PeerAddress)
		}
	}
	hosts[1].kill()
	<-hosts[1].done
	if got, _ := hosts[0].NewerConfig(ctx, 4); got != nil {
		t.Errorf("record %q although its host is gone", got)
	}
}
