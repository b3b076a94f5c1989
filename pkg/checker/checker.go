// Package checker validates a complete set of configuration objects before it is put in force:
// names, required fields, quotas and references between objects.
package checker

import (
	"fmt"
	"regexp"
	"sort"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Set holds the objects of a complete configuration by kind and name.
type Set struct {
	Services    map[identifier.Service]*parser.Service
	Pools       map[identifier.Pool]*parser.BatchPool
	DataCentres map[identifier.DataCentre]*parser.DataCentre
	Policies    map[identifier.Policy]*parser.PlacementPolicy
	Teams       map[identifier.Team]*parser.Team
}

// NewSet returns a set of the given objects. Of several objects with the same key, the last one
// is kept.
func NewSet(objects ...parser.Object) *Set {
	s := &Set{
		Services:    map[identifier.Service]*parser.Service{},
		Pools:       map[identifier.Pool]*parser.BatchPool{},
		DataCentres: map[identifier.DataCentre]*parser.DataCentre{},
		Policies:    map[identifier.Policy]*parser.PlacementPolicy{},
		Teams:       map[identifier.Team]*parser.Team{},
	}
	for _, obj := range objects {
		s.Put(obj)
	}
	return s
}

// Put adds an object or replaces the one with the same key.
func (s *Set) Put(obj parser.Object) {
	switch o := obj.(type) {
	case *parser.Service:
		s.Services[o.Name] = o
	case *parser.BatchPool:
		s.Pools[o.Name] = o
	case *parser.DataCentre:
		s.DataCentres[o.Name] = o
	case *parser.PlacementPolicy:
		s.Policies[o.Name] = o
	case *parser.Team:
		s.Teams[o.Name] = o
	}
}

// Delete removes the object with a key and reports whether there was one.
func (s *Set) Delete(k parser.Key) bool {
	before := s.Len()
	switch k.Kind {
	case parser.KindService:
		delete(s.Services, identifier.Service(k.Name))
	case parser.KindBatchPool:
		delete(s.Pools, identifier.Pool(k.Name))
	case parser.KindDataCentre:
		delete(s.DataCentres, identifier.DataCentre(k.Name))
	case parser.KindPolicy:
		delete(s.Policies, identifier.Policy(k.Name))
	case parser.KindTeam:
		delete(s.Teams, identifier.Team(k.Name))
	}
	return s.Len() < before
}

// Len returns the number of objects.
func (s *Set) Len() int {
	return len(s.Services) + len(s.Pools) + len(s.DataCentres) + len(s.Policies) + len(s.Teams)
}

// Objects returns all objects, ordered by key.
func (s *Set) Objects() []parser.Object {
	out := make([]parser.Object, 0, s.Len())
	out = appendValues(out, s.Services)
	out = appendValues(out, s.Pools)
	out = appendValues(out, s.DataCentres)
	out = appendValues(out, s.Policies)
	out = appendValues(out, s.Teams)
	sort.Slice(out, func(i, j int) bool { return out[i].Key().String() < out[j].Key().String() })
	return out
}

func appendValues[K comparable, V parser.Object](out []parser.Object, from map[K]V) []parser.Object {
	for _, v := range from {
		out = append(out, v)
	}
	return out
}

// validator collects the problems of one set.
type validator struct {
	set      *Set
	parsed   *parser.Parsed
	problems []parser.Problem
}

// Check validates a complete set and returns its problems together with those found while
// parsing. The set may also hold objects that are not in the parsed files, such as those already
// in force; their problems have no position.
func Check(set *Set, parsed *parser.Parsed) []parser.Problem {
	v := &validator{set: set, parsed: parsed, problems: parsed.Problems}
	for _, obj := range set.Objects() {
		v.validateObject(obj)
	}
	parser.Sort(v.problems)
	return v.problems
}

func (v *validator) validateObject(obj parser.Object) {
	v.validateName(obj.Key())
	switch o := obj.(type) {
	case *parser.Service:
		v.validateService(o)
	case *parser.BatchPool:
		v.validatePool(o)
	case *parser.DataCentre:
		v.validateDataCentre(o)
	case *parser.PlacementPolicy:
		v.validatePolicy(o)
	case *parser.Team:
		v.validateSize(o.Key(), "quota", o.Quota)
	}
}

func (v *validator) validateName(k parser.Key) {
	if len(k.Name) > maxNameLength || !namePattern.MatchString(k.Name) {
		v.addProblem(k, "name", fmt.Sprintf("%q is not a name", k.Name), "lower-case letters, digits and hyphens, at most 63")
	}
}

func (v *validator) validateService(o *parser.Service) {
	v.validateOwner(o.Key(), o.Team, o.Policy)
	if o.Deadline == 0 {
		v.addProblem(o.Key(), "deadline", "zero", "a duration above zero such as 800ms")
	}
}

func (v *validator) validatePool(o *parser.BatchPool) {
	k := o.Key()
	v.validateOwner(k, o.Team, o.Policy)
	v.validateSize(k, "size", o.Size)
	if o.Size.Processors == 0 {
		v.addProblem(k, "size.processors", "zero", "a number of processors above zero")
	}
	if o.Size.Memory == 0 {
		v.addProblem(k, "size.memory", "zero", "an amount of memory above zero")
	}
	if o.MaxAttempts == 0 {
		v.addProblem(k, "maxAttempts", "zero", "a whole number above zero")
	}
	team, ok := v.set.Teams[o.Team]
	if ok && !o.Size.Fits(team.Quota) {
		v.addProblem(k, "size", fmt.Sprintf("larger than the quota of team %q (%s)", o.Team, team.Quota), "a size within the quota")
	}
}

func (v *validator) validateDataCentre(o *parser.DataCentre) {
	if o.Region == "" {
		v.addProblem(o.Key(), "region", "missing", "the name of a region")
	}
	if o.DrainRate == 0 {
		v.addProblem(o.Key(), "drainRate", "zero", "tasks a second, above zero")
	}
}

func (v *validator) validatePolicy(o *parser.PlacementPolicy) {
	if len(o.DataCentres) == 0 {
		v.addProblem(o.Key(), "dataCentres", "empty", "at least one data centre")
	}
	seen := map[identifier.DataCentre]bool{}
	for i, dc := range o.DataCentres {
		field := fmt.Sprintf("dataCentres.%d", i)
		if _, ok := v.set.DataCentres[dc]; !ok {
			v.missingReference(o.Key(), field, parser.KindDataCentre, string(dc))
		}
		if seen[dc] {
			v.addProblem(o.Key(), field, fmt.Sprintf("%q stands twice", dc), "each data centre once")
		}
		seen[dc] = true
	}
}

func (v *validator) validateOwner(k parser.Key, team identifier.Team, policy identifier.Policy) {
	if _, ok := v.set.Teams[team]; !ok {
		v.missingReference(k, "team", parser.KindTeam, string(team))
	}
	if _, ok := v.set.Policies[policy]; !ok {
		v.missingReference(k, "policy", parser.KindPolicy, string(policy))
	}
}

func (v *validator) validateSize(k parser.Key, field string, s identifier.Size) {
	if s.IsZero() {
		v.addProblem(k, field, "a size of zero", "processors, memory or accelerators above zero")
	}
}

// missingReference reports a field that must name another object of the set, but is empty or
// names one that does not exist.
func (v *validator) missingReference(k parser.Key, field string, kind parser.Kind, name string) {
	if name == "" {
		v.addProblem(k, field, "missing", "the name of a "+string(kind))
		return
	}
	v.addProblem(k, field, fmt.Sprintf("there is no %s %q", kind, name), "a "+string(kind)+" of the set")
}

// addProblem records a problem of a field, with its position if the object was parsed from a
// file. It does nothing if the parser has already reported the field.
func (v *validator) addProblem(k parser.Key, field, wrong, want string) {
	p := parser.Problem{Field: k.String() + " " + field, Wrong: wrong, Want: want}
	if fields := v.parsed.Fields(k); fields != nil {
		if fields.Faulty(field) {
			return
		}
		p.Position = fields.Position(field)
	}
	v.problems = append(v.problems, p)
}
