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
	// Queue is the only queue of the stand-in platform.
	Queue identifier.Queue = "bills"
	// UnknownQueue names a queue that does not exist.
	UnknownQueue identifier.Queue = "none"
	// MaxAttempts is the number of failed runs after which a task of Queue fails.
	MaxAttempts = 3
	// longRunningPrefix starts the ID of a job whose tasks the stand-in runs until they are
	// stopped.
	longRunningPrefix = "lasting-"
)

// DataCentres are the data centres of every run.
var DataCentres = []identifier.DataCentre{"a", "b", "c"}

// LinkID identifies a proxied network link.
type LinkID string

// PlatformLink returns the link from a host to the store and the directory.
func PlatformLink(host int) LinkID { return LinkID(fmt.Sprintf("platform/%d", host)) }

// CallersLink returns the link from the callers to a host.
func CallersLink(host int) LinkID { return LinkID(fmt.Sprintf("callers/%d", host)) }

// WorkerLink returns the link from all hosts to a worker.
func WorkerLink(id identifier.Worker) LinkID { return LinkID("worker/" + string(id)) }

// IsLongRunning reports whether the tasks of a job run until it is cancelled.
func IsLongRunning(id identifier.Job) bool { return strings.HasPrefix(string(id), longRunningPrefix) }

// TasksPerWorker is the number of tasks that fit on a worker of the stand-in.
const TasksPerWorker = 4

// taskSize is the size of every task.
var taskSize = identifier.Size{Processors: 1000, Memory: 1024}

// HostName returns the name of the host with the given index, such as "h0".
func HostName(host int) string { return fmt.Sprintf("h%d", host) }

// HostDataCentre returns the data centre of a host; hosts are assigned in rotation.
func HostDataCentre(host int) identifier.DataCentre { return DataCentres[host%len(DataCentres)] }

// WorkersPerDataCentre returns the number of workers in each data centre, rounded up.
func WorkersPerDataCentre(o Options) int {
	return (o.Workers + len(DataCentres) - 1) / len(DataCentres)
}

// WorkerIDs returns the IDs that the stand-in gives its workers.
func WorkerIDs(o Options) (out []identifier.Worker) {
	for _, dc := range DataCentres {
		for i := range WorkersPerDataCentre(o) {
			out = append(out, identifier.Worker(fmt.Sprintf("%s-w%d", dc, i)))
		}
	}
	return out
}

// ExpirableTopics are the topics whose history a StoreForgets fault drops.
var ExpirableTopics = []connector.Topic{intake.TopicInbox, dispatcher.TopicWork}
