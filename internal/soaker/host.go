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

// host is one scheduling host and its process, which is nil while the host is down.
type host struct {
	index        int
	settingsPath string
	process      *process
}

// killAfter is how long after SIGTERM a host is killed. It is longer than the grace period, which
// is checked afterwards with the time deducted for which the machine did not run the soak.
const killAfter = 3 * auditor.StopGracePeriod

// hostSettings is the settings file of a scheduling host, which reaches the platform by a link.
const hostSettings = `name: %s
dataCentre: %s
listen: {admin: "%s", peers: "%s"}
platform: {store: "%s", directory: "%s"}
`

// prepareHost writes the settings file of a host. It does not start the host.
func (r *run) prepareHost(i int) (*host, error) {
	path := filepath.Join(r.dir, fmt.Sprintf("host-%d.yaml", i))
	platform := r.layout.link(drafter.PlatformLink(i))
	text := fmt.Sprintf(hostSettings, drafter.HostName(i), drafter.HostDataCentre(i), r.layout.admin(i), r.layout.peers(i), platform, platform)
	return &host{index: i, settingsPath: path}, errors.Wrap(os.WriteFile(path, []byte(text), 0o600), "write settings of a host")
}

// reconcile starts, stops, kills, pauses and resumes hosts to match a state, and records the hosts
// that have exited.
func (r *run) reconcile(s drafter.State) error {
	for _, h := range r.hosts {
		if h.process != nil && !h.process.alive() {
			r.recordExit(h.process.exit())
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
			p.setPaused(s.Paused[h.index])
			if s.Stopped[h.index] {
				p.terminate()
			}
			if p.terminating && !p.killed && !p.paused && time.Since(p.graceStart) > killAfter {
				r.recordExit(auditor.Exit{Process: p.name, At: time.Now(), Status: "still up", StopRequested: true, Took: time.Since(p.graceStart)})
				p.kill()
			}
		}
	}
	return nil
}

func (r *run) startHost(h *host) (err error) {
	name := drafter.HostName(h.index)
	h.process, err = r.spawner.start(name, r.logPath(name), filepath.Join(r.bin, "balsamcove"), "schedule", "--settings", h.settingsPath)
	return err
}

func (r *run) logPath(name string) string { return filepath.Join(r.dir, name+".log") }
