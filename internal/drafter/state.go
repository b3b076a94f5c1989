package drafter

import (
	"maps"

	"github.com/balsamcove/balsamcove/internal/disturber"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// State is how everything misbehaves while some faults are active.
type State struct {
	Store           simulator.StoreFaults
	Workers         map[identifier.Worker]simulator.WorkerFaults
	Links           map[LinkID]disturber.Faults
	Killed, Stopped map[int]bool
	Paused          map[int]bool
	Removed         map[identifier.Worker]bool
	Evacuated       map[identifier.DataCentre]bool
}

// Compose returns how everything misbehaves while the given faults are active.
func Compose(active []Fault) State {
	s := State{
		Store:   simulator.StoreFaults{Refused: map[string]bool{}},
		Workers: map[identifier.Worker]simulator.WorkerFaults{}, Links: map[LinkID]disturber.Faults{},
		Killed: map[int]bool{}, Stopped: map[int]bool{}, Paused: map[int]bool{},
		Removed: map[identifier.Worker]bool{}, Evacuated: map[identifier.DataCentre]bool{},
	}
	for _, f := range active {
		switch f := f.(type) {
		case HostsKilled:
			mark(s.Killed, f.Hosts)
		case HostsStopped:
			mark(s.Stopped, f.Hosts)
		case HostsPaused:
			mark(s.Paused, f.Hosts)
		case LinksBroken:
			for _, id := range f.Links {
				s.Links[id] = joinedLinks(s.Links[id], f.Faults)
			}
		case StoreFails:
			s.Store = joinedStores(s.Store, f.Faults)
		case WorkersFail:
			for _, id := range f.Workers {
				s.Workers[id] = joined(s.Workers[id], f.Faults)
			}
		case WorkersLeave:
			mark(s.Removed, f.Workers)
		case Evacuated:
			s.Evacuated[f.DataCentre] = true
		case LinksReset, StoreForgets, WorkersCrash: // Happen once, at their beginning.
		}
	}
	return s
}

func mark[K comparable](set map[K]bool, keys []K) {
	for _, k := range keys {
		set[k] = true
	}
}

func joinedLinks(a, b disturber.Faults) disturber.Faults {
	return disturber.Faults{Delay: max(a.Delay, b.Delay), HoldSent: a.HoldSent || b.HoldSent, HoldReceived: a.HoldReceived || b.HoldReceived}
}

func joinedStores(a, b simulator.StoreFaults) simulator.StoreFaults {
	refused := maps.Clone(a.Refused)
	maps.Copy(refused, b.Refused)
	return simulator.StoreFaults{
		Down: a.Down || b.Down, Slow: max(a.Slow, b.Slow), LoseAnswers: max(a.LoseAnswers, b.LoseAnswers), Refused: refused,
	}
}

func joined(a, b simulator.WorkerFaults) simulator.WorkerFaults {
	return simulator.WorkerFaults{
		Cut: a.Cut || b.Cut, Late: max(a.Late, b.Late), Refusing: max(a.Refusing, b.Refusing),
		Slow: max(a.Slow, b.Slow), Unlisted: a.Unlisted || b.Unlisted,
	}
}
