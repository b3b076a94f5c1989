package soaker

import (
	"fmt"
	"net"
	"strconv"

	"github.com/balsamcove/balsamcove/pkg/identifier"

	"github.com/balsamcove/balsamcove/internal/drafter"
)

// The first port of each kind. All are below the range of ephemeral ports.
const (
	portPlatform     = 20000
	portStore        = 21000
	portAdmin        = 22000
	portPeers        = 23000
	portCallersLink  = 24000
	portPlatformLink = 25000
	portWorkerLink   = 26000
)

// layout assigns the addresses of a run. Each run has its own loopback address with fixed ports,
// so that the ports of a host are still free when it restarts.
type layout struct {
	ip      string
	workers map[identifier.Worker]int
}

func newLayout(o drafter.Options, id int) layout {
	l := layout{fmt.Sprintf("127.%d.%d.%d", 1+id>>8&0x7f, id&0xff, 1+o.Seed%250), map[identifier.Worker]int{}}
	for i, w := range drafter.WorkerIDs(o) {
		l.workers[w] = i
	}
	return l
}

func (l layout) at(port int) string { return net.JoinHostPort(l.ip, strconv.Itoa(port)) }

func (l layout) platform() string      { return l.at(portPlatform) }
func (l layout) store(host int) string { return l.at(portStore + host) }
func (l layout) admin(host int) string { return l.at(portAdmin + host) }
func (l layout) peers(host int) string { return l.at(portPeers + host) }

// link returns the address on which a link listens.
func (l layout) link(id drafter.LinkID) string {
	var host int
	if _, err := fmt.Sscanf(string(id), "platform/%d", &host); err == nil {
		return l.at(portPlatformLink + host)
	}
	if _, err := fmt.Sscanf(string(id), "callers/%d", &host); err == nil {
		return l.at(portCallersLink + host)
	}
	return l.at(portWorkerLink + l.workers[identifier.Worker(string(id)[len("worker/"):])])
}

// targets returns the target address of each link.
func (l layout) targets(hosts int) map[drafter.LinkID]string {
	out := map[drafter.LinkID]string{}
	for h := range hosts {
		out[drafter.PlatformLink(h)], out[drafter.CallersLink(h)] = l.store(h), l.admin(h)
	}
	for w := range l.workers {
		out[drafter.WorkerLink(w)] = l.platform()
	}
	return out
}
