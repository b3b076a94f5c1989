package drafter

import (
	"fmt"
	"strings"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dispatcher"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// Queue is that of the stand-in.
	Queue identifier.Queue = "bills"
	// UnknownQueue does not exist.
	UnknownQueue identifier.Queue = "none"
	// MaxAttempts is how often a task of the stand-in's queue may fail.
	MaxAttempts = 3
	// lastingPrefix is what tells the stand-in that the tasks of a job last.
	lastingPrefix = "lasting-"
)

// DataCentres are those of every run.
var DataCentres = []identifier.DataCentre{"a", "b", "c"}

// LinkID names a link that may break.
type LinkID string

// PlatformLink is the way of a host to the store and the directory.
func PlatformLink(host int) LinkID { return LinkID(fmt.Sprintf("platform/%d", host)) }

// CallersLink is the way of callers to a host.
func CallersLink(host int) LinkID { return LinkID(fmt.Sprintf("callers/%d", host)) }

// WorkerLink is the way of all hosts to a worker.
func WorkerLink(id identifier.Worker) LinkID { return LinkID("worker/" + string(id)) }

// IsLongRunning reports whether the tasks of a job run until it is cancelled.
func IsLongRunning(id identifier.Job) bool { return strings.HasPrefix(string(id), lastingPrefix) }

// TasksPerWorker is how many tasks a worker of the stand-in has room for.
const TasksPerWorker = 4

// taskSize is what the stand-in's tasks reserve.
var taskSize = identifier.Size{Processors: 1000, Memory: 1024}

// HostName returns the name of a host.
func HostName(host int) string { return fmt.Sprintf("h%d", host) }

// HostDataCentre returns the data centre of a host.
func HostDataCentre(host int) identifier.DataCentre { return DataCentres[host%len(DataCentres)] }

// WorkersPerDataCentre is how many workers a data centre has.
func WorkersPerDataCentre(o Options) int {
	return (o.Workers + len(DataCentres) - 1) / len(DataCentres)
}

// WorkerIDs returns the names that the stand-in gives its workers.
func WorkerIDs(o Options) (out []identifier.Worker) {
	for _, dc := range DataCentres {
		for i := range WorkersPerDataCentre(o) {
			out = append(out, identifier.Worker(fmt.Sprintf("%s-w%d", dc, i)))
		}
	}
	return out
}

// ExpirableTopics are those whose history the store may forget.
var ExpirableTopics = []connector.Topic{intake.TopicInbox, dispatcher.TopicWork}
