// Package loader reads and validates the settings files of entry hosts and scheduling hosts.
package loader

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// Settings holds the settings of an entry host.
type Settings struct {
	Name       identifier.Entry      `yaml:"name"`
	DataCentre identifier.DataCentre `yaml:"dataCentre"`
	Listen     Listen                `yaml:"listen"`
	Platform   Platform              `yaml:"platform"`
	Peers      []Peer                `yaml:"peers"`
	HomeShards int                   `yaml:"homeShards"`
	Leases     Leases                `yaml:"leases"`
	Polls      Polls                 `yaml:"polls"`
	Members    Members               `yaml:"members"`
	Snapshots  Snapshots             `yaml:"snapshots"`
	Limits     Limits                `yaml:"limits"`
	Stop       Stop                  `yaml:"stop"`
	Log        Log                   `yaml:"log"`
}

// Listen holds the addresses (IP:PORT) that an entry host listens on.
type Listen struct {
	Callers string `yaml:"callers"`
	Admin   string `yaml:"admin"`
	Peers   string `yaml:"peers"`
}

// Platform holds the addresses (IP:PORT) of the platform's services.
type Platform struct {
	Log      string `yaml:"log"`
	HostList string `yaml:"hostList"`
}

// Peer is another entry host to contact at the start. Entry hosts that no setting names are
// discovered through it.
type Peer struct {
	Name       identifier.Entry      `yaml:"name"`
	DataCentre identifier.DataCentre `yaml:"dataCentre"`
	Address    string                `yaml:"address"`
}

// Leases holds the durations and renewal intervals of the leases on cells and workers.
type Leases struct {
	CellTTL     identifier.Duration `yaml:"cellTTL"`
	CellRenew   identifier.Duration `yaml:"cellRenew"`
	WorkerTTL   identifier.Duration `yaml:"workerTTL"`
	WorkerRenew identifier.Duration `yaml:"workerRenew"`
}

// Polls holds the intervals at which the platform's log and host list are polled. Freshness is how
// old what was read from them may be for a task to be started.
type Polls struct {
	Log       identifier.Duration `yaml:"log"`
	HostList  identifier.Duration `yaml:"hostList"`
	Freshness identifier.Duration `yaml:"freshness"`
}

// Members holds the timing of the membership protocol: the interval of heartbeats, the silence
// after which a member counts as dead, and the time for which a new member must be heard before
// minions are assigned to it.
type Members struct {
	Interval identifier.Duration `yaml:"interval"`
	Dead     identifier.Duration `yaml:"dead"`
	Settle   identifier.Duration `yaml:"settle"`
}

// Snapshots says after how many records, or at which age, a new snapshot of a stream's state is
// written to the log.
type Snapshots struct {
	Records int                 `yaml:"records"`
	Age     identifier.Duration `yaml:"age"`
}

// Limits bounds the load that the host accepts.
type Limits struct {
	Requests int `yaml:"requests"`
}

// Stop holds the timing of a planned shutdown.
type Stop struct {
	// Notice is how long the host keeps serving after it has announced that it is leaving.
	Notice identifier.Duration `yaml:"notice"`
	// Limit is how long the host waits for requests in flight.
	Limit identifier.Duration `yaml:"limit"`
}

// Log says what is logged.
type Log struct {
	Level Level `yaml:"level"`
}

// Level is a log level.
type Level string

// Values lists the log levels.
func (Level) Values() []string { return []string{"debug", string(defaultLevel), "warn", "error"} }

// defaultLevel is the log level if the settings name none.
const defaultLevel Level = "info"

func duration(d time.Duration) identifier.Duration { return identifier.Duration(d) }

// Default returns the values of settings that a file does not set.
func Default() Settings {
	return Settings{
		HomeShards: 4,
		Leases: Leases{
			CellTTL: duration(1200 * time.Millisecond), CellRenew: duration(400 * time.Millisecond),
			WorkerTTL: duration(3 * time.Second), WorkerRenew: duration(time.Second),
		},
		Polls: Polls{
			Log: duration(50 * time.Millisecond), HostList: duration(time.Second),
			Freshness: duration(time.Second),
		},
		Members: Members{
			Interval: duration(200 * time.Millisecond), Dead: duration(time.Second),
			Settle: duration(time.Second),
		},
		Snapshots: Snapshots{Records: 2000, Age: duration(10 * time.Minute)},
		Limits:    Limits{Requests: 2000},
		Stop:      Stop{Notice: duration(time.Second), Limit: duration(30 * time.Second)},
		Log:       Log{Level: defaultLevel},
	}
}

// Load reads the settings of an entry host from a file. The error is that of reading the file, or
// a *parser.InvalidError that lists every problem.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse decodes the settings of an entry host from the text of a file. The error is a
// *parser.InvalidError that lists every problem.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	fields, problems := parser.Decode(file, data, &s)
	v := &validator{fields: fields, problems: problems}
	v.validate(&s)
	parser.Sort(v.problems)
	if len(v.problems) > 0 {
		return Settings{}, &parser.InvalidError{Problems: v.problems}
	}
	return s, nil
}

// validator collects the problems of settings.
type validator struct {
	fields   *parser.Fields
	problems []parser.Problem
}

func (v *validator) validate(s *Settings) {
	v.require(s.Name != "", "name", "missing", "the name of this entry host")
	v.require(s.DataCentre != "", "dataCentre", "missing", "the name of a data centre")
	v.validateAddress("listen.callers", s.Listen.Callers)
	v.validateAddress("listen.admin", s.Listen.Admin)
	v.validateAddress("listen.peers", s.Listen.Peers)
	v.validateAddress("platform.log", s.Platform.Log)
	v.validateAddress("platform.hostList", s.Platform.HostList)
	for i, p := range s.Peers {
		v.validateAddress("peers."+strconv.Itoa(i)+".address", p.Address)
	}
	v.require(s.HomeShards > 0 && s.HomeShards <= maxHomeShards, "homeShards", "out of range", "1 to 64")
	v.require(s.Limits.Requests > 0, "limits.requests", "zero", "a whole number above zero")
	v.validateDurations(s)
}

// maxHomeShards is the upper limit of the setting homeShards.
const maxHomeShards = 64

func (v *validator) validateDurations(s *Settings) {
	positive := []struct {
		field string
		value identifier.Duration
	}{
		{"leases.cellTTL", s.Leases.CellTTL},
		{"leases.cellRenew", s.Leases.CellRenew},
		{"leases.workerTTL", s.Leases.WorkerTTL},
		{"leases.workerRenew", s.Leases.WorkerRenew},
		{"polls.log", s.Polls.Log},
		{"polls.hostList", s.Polls.HostList},
		{"polls.freshness", s.Polls.Freshness},
		{"members.interval", s.Members.Interval},
		{"members.dead", s.Members.Dead},
		{"snapshots.age", s.Snapshots.Age},
		{"stop.limit", s.Stop.Limit},
	}
	for _, d := range positive {
		v.require(d.value > 0, d.field, "zero", "a duration above zero")
	}
	v.require(s.Leases.CellRenew*2 <= s.Leases.CellTTL, "leases.cellRenew", "too long", "at most half of leases.cellTTL")
	v.require(s.Leases.WorkerRenew*2 <= s.Leases.WorkerTTL, "leases.workerRenew", "too long", "at most half of leases.workerTTL")
	startDelay := s.Polls.Freshness + s.Leases.WorkerTTL
	v.require(startDelay <= identifier.Duration(maxStartAfterDrain), "polls.freshness", "too long",
		"with leases.workerTTL at most "+maxStartAfterDrain.String()+", so that no task starts later in a drained data centre")
	v.require(s.Members.Interval*2 <= s.Members.Dead, "members.interval", "too long", "at most half of members.dead")
}

// maxStartAfterDrain bounds how long after a drain a task may still start in the drained data
// centre.
const maxStartAfterDrain = 5 * time.Second

func (v *validator) validateAddress(field, text string) {
	host, port, err := net.SplitHostPort(text)
	n, portErr := strconv.Atoi(port)
	ok := err == nil && portErr == nil && n > 0 && n < 1<<16 && net.ParseIP(host) != nil
	v.require(ok, field, strconv.Quote(text)+" is not valid", "an IP address and port such as 127.0.0.1:7101")
}

// require records a problem of a field unless ok is set. It does nothing if the field, or the whole
// file, could not be decoded, which has already been reported.
func (v *validator) require(ok bool, field, wrong, want string) {
	if !ok && !v.fields.Faulty("") && !v.fields.Faulty(field) {
		v.problems = append(v.problems, parser.Problem{Position: v.fields.Position(field), Field: field, Wrong: wrong, Want: want})
	}
}
