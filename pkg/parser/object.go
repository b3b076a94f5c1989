package parser

import (
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Kind names a kind of configuration object.
type Kind string

// The kinds of objects.
const (
	KindService    Kind = "service"
	KindBatchPool  Kind = "batchPool"
	KindDataCentre Kind = "dataCentre"
	KindPolicy     Kind = "placementPolicy"
	KindTeam       Kind = "team"
)

// Values lists the kinds.
func (Kind) Values() []string {
	return []string{string(KindService), string(KindBatchPool), string(KindDataCentre), string(KindPolicy), string(KindTeam)}
}

// Key identifies an object within a configuration.
type Key struct {
	Kind Kind   `json:"kind" cbor:"1,keyasint"`
	Name string `json:"name" cbor:"2,keyasint"`
}

// String formats the key as KIND/NAME, such as service/hire-desk.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is a configuration object: *Service, *BatchPool, *DataCentre,
// *PlacementPolicy or *Team.
type Object interface {
	// Key returns the kind and name of the object.
	Key() Key
}

// Class ranks the requests of services when there is no capacity for all of them.
type Class string

// The classes of requests, most urgent first.
const (
	ClassCritical Class = "latencyCritical"
	ClassStandard Class = "standard"
)

// Values lists the classes.
func (Class) Values() []string { return []string{string(ClassCritical), string(ClassStandard)} }

// Priority ranks tasks that wait for capacity.
type Priority string

// The priorities, most urgent first.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Values lists the priorities.
func (Priority) Values() []string {
	return []string{string(PriorityUrgent), string(PriorityNormal), string(PriorityLow)}
}

// Mode distinguishes tasks that end by themselves (run) from those that run until they are
// cancelled (watch).
type Mode string

// The modes of a batch pool.
const (
	ModeRun   Mode = "run"
	ModeWatch Mode = "watch"
)

// Values lists the modes.
func (Mode) Values() []string { return []string{string(ModeRun), string(ModeWatch)} }

// Availability says whether a data centre accepts new work.
type Availability string

// The availabilities of a data centre.
const (
	InService Availability = "inService"
	Drained   Availability = "drained"
)

// Values lists the availabilities.
func (Availability) Values() []string { return []string{string(InService), string(Drained)} }

// Order says how a policy ranks its data centres.
type Order string

// The orders of a placement policy.
const (
	OrderNearFirst Order = "nearFirst"
	OrderSpread    Order = "spread"
)

// Values lists the orders.
func (Order) Values() []string { return []string{string(OrderNearFirst), string(OrderSpread)} }

// Service is a latency-critical service whose requests minions answer.
type Service struct {
	Kind     Kind                `yaml:"kind" json:"kind"`
	Name     identifier.Service  `yaml:"name" json:"name"`
	Team     identifier.Team     `yaml:"team" json:"team"`
	Policy   identifier.Policy   `yaml:"policy" json:"policy"`
	Class    Class               `yaml:"class" json:"class"`
	Deadline identifier.Duration `yaml:"deadline" json:"deadline"`
}

// BatchPool is a queue of tasks of the same size. A task of an idempotent pool is retried when it
// is unknown whether an attempt has finished; a task of another pool waits until its worker is
// back or an operator decides.
type BatchPool struct {
	Kind        Kind                `yaml:"kind" json:"kind"`
	Name        identifier.Pool     `yaml:"name" json:"name"`
	Team        identifier.Team     `yaml:"team" json:"team"`
	Policy      identifier.Policy   `yaml:"policy" json:"policy"`
	Priority    Priority            `yaml:"priority" json:"priority"`
	Mode        Mode                `yaml:"mode" json:"mode"`
	Size        identifier.Size     `yaml:"size" json:"size"`
	RunTime     identifier.Duration `yaml:"runTime,omitempty" json:"runTime,omitempty"`
	MaxAttempts int                 `yaml:"maxAttempts" json:"maxAttempts"`
	CutOffGrace identifier.Duration `yaml:"cutOffGrace,omitempty" json:"cutOffGrace,omitempty"`
	Idempotent  bool                `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
}

// DataCentre is a group of workers, minions and entry hosts.
type DataCentre struct {
	Kind      Kind                  `yaml:"kind" json:"kind"`
	Name      identifier.DataCentre `yaml:"name" json:"name"`
	Region    identifier.Region     `yaml:"region" json:"region"`
	State     Availability          `yaml:"state" json:"state"`
	DrainRate int                   `yaml:"drainRate,omitempty" json:"drainRate,omitempty"`
}

// PlacementPolicy lists the data centres that may run work and says how they are ranked.
type PlacementPolicy struct {
	Kind        Kind                    `yaml:"kind" json:"kind"`
	Name        identifier.Policy       `yaml:"name" json:"name"`
	DataCentres []identifier.DataCentre `yaml:"dataCentres" json:"dataCentres"`
	Order       Order                   `yaml:"order" json:"order"`
}

// Team owns services and pools and has a quota that covers all data centres together.
type Team struct {
	Kind  Kind            `yaml:"kind" json:"kind"`
	Name  identifier.Team `yaml:"name" json:"name"`
	Quota identifier.Size `yaml:"quota" json:"quota"`
}

// Repeatable reports whether a task may be retried when the outcome of an attempt is unknown.
// Tasks of mode watch may be, as they have no outcome.
func (o *BatchPool) Repeatable() bool { return o.Idempotent || o.Mode == ModeWatch }

// Grace returns how long a task of the pool may keep running while its data centre is cut off from
// the log.
func (o *BatchPool) Grace() time.Duration {
	switch {
	case o.CutOffGrace > 0:
		return o.CutOffGrace.Std()
	case o.Mode == ModeWatch:
		return DefaultWatchGrace
	default:
		return DefaultRunGrace
	}
}

// Key returns the kind and name of the service.
func (o *Service) Key() Key { return Key{KindService, string(o.Name)} }

// Key returns the kind and name of the pool.
func (o *BatchPool) Key() Key { return Key{KindBatchPool, string(o.Name)} }

// Key returns the kind and name of the data centre.
func (o *DataCentre) Key() Key { return Key{KindDataCentre, string(o.Name)} }

// Key returns the kind and name of the policy.
func (o *PlacementPolicy) Key() Key { return Key{KindPolicy, string(o.Name)} }

// Key returns the kind and name of the team.
func (o *Team) Key() Key { return Key{KindTeam, string(o.Name)} }

// New returns an object of a kind with only its defaults set, or nil for an unknown kind.
func New(kind Kind) Object {
	switch kind {
	case KindService:
		return &Service{Kind: kind, Class: ClassCritical}
	case KindBatchPool:
		return &BatchPool{Kind: kind, Priority: PriorityNormal, Mode: ModeRun, MaxAttempts: DefaultMaxAttempts}
	case KindDataCentre:
		return &DataCentre{Kind: kind, State: InService, DrainRate: DefaultDrainRate}
	case KindPolicy:
		return &PlacementPolicy{Kind: kind, Order: OrderNearFirst}
	case KindTeam:
		return &Team{Kind: kind}
	default:
		return nil
	}
}

const (
	// DefaultMaxAttempts is how often a task is attempted before it is parked.
	DefaultMaxAttempts = 3
	// DefaultDrainRate is how many tasks a drain stops per second.
	DefaultDrainRate = 10
	// DefaultWatchGrace is how long a task of mode watch keeps running in a data centre that is
	// cut off from the log.
	DefaultWatchGrace = 30 * time.Minute
	// DefaultRunGrace is the same for a task of mode run.
	DefaultRunGrace = time.Minute
)
