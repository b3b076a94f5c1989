package soaker

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/auditor"
	"github.com/balsamcove/balsamcove/internal/drafter"
)

// host keeps one scheduling host in the state that the plan asks for.
type host struct {
	index    int
	settings string
	process  *process
}

// stuckAfter is when a host that was asked to end is killed; how long it may take is checked
// afterwards, when it is known whether the machine ran it.
const stuckAfter = 3 * auditor.StopGracePeriod

// hostSettings are those of a scheduling host, whose way to the platform is a link.
const hostSettings = `name: %s
dataCentre: %s
listen: {admin: "%s", peers: "%s"}
platform: {store: "%s", directory: "%s"}
`

func (r *run) prepareHost(i int) (*host, error) {
	path := filepath.Join(r.dir, fmt.Sprintf("host-%d.yaml", i))
	platform := r.net.link(drafter.PlatformLink(i))
	text := fmt.Sprintf(hostSettings, drafter.HostName(i), drafter.HostDataCentre(i), r.net.admin(i), r.net.peers(i), platform, platform)
	return &host{index: i, settings: path}, errors.Wrap(os.WriteFile(path, []byte(text), 0o600), "write settings of a host")
}

// reconcile starts, ends, pauses and resumes hosts as a state asks for.
func (r *run) reconcile(s drafter.State) error {
	for _, h := range r.hosts {
		if h.process != nil && !h.process.alive() {
			r.exited(h.process.exit())
			h.process = nil
		}
		down := s.Killed[h.index] || s.Stopped[h.index]
		switch p := h.process; {
		case p == nil && !down:
			if err := r.startHost(h); err != nil {
				return err
			}
		case p == nil:
		case s.Killed[h.index]:
			p.kill()
		default:
			p.pause(s.Paused[h.index])
			if s.Stopped[h.index] {
				p.ask()
			}
			if p.asked && !p.killed && !p.paused && time.Since(p.since) > stuckAfter {
				r.exited(auditor.Exit{Process: p.name, At: time.Now(), Status: "still up", StopRequested: true, Took: time.Since(p.since)})
				p.kill()
			}
		}
	}
	return nil
}

func (r *run) startHost(h *host) (err error) {
	name := drafter.HostName(h.index)
	h.process, err = r.spawner.start(name, r.logPath(name), filepath.Join(r.bin, "balsamcove"), "schedule", "--settings", h.settings)
	return err
}

func (r *run) logPath(name string) string { return filepath.Join(r.dir, name+".log") }
