package auditor

import (
	"fmt"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// configWithin is the time after its acknowledgement within which a configuration must be in force on
// every host in touch (configApplyMs).
const configWithin = 2 * time.Second

// findConfigRegressions finds answers with an older version of the configuration than the same host
// gave before, also before a restart. Two answers are compared only if the second question was sent
// after the first was answered.
func findConfigRegressions(r *jobIndex) (out []string) {
	newest := map[int]ConfigAnswer{}
	for _, a := range answersInOrder(r) {
		last, ok := newest[a.Host]
		if ok && a.Version < last.Version && !a.Sent.Before(last.Answered) {
			out = append(out, fmt.Sprintf("host %d has version %d at %v, %d before, at %v", a.Host, a.Version, r.elapsed(a.Answered), last.Version, r.elapsed(last.Answered)))
		}
		if a.Version > last.Version {
			newest[a.Host] = a
		}
	}
	return out
}

// answersInOrder returns the answers in the order in which they arrived.
func answersInOrder(r *jobIndex) []ConfigAnswer {
	answers := slices.Clone(r.ConfigAnswers)
	slices.SortStableFunc(answers, func(a, b ConfigAnswer) int { return a.Answered.Compare(b.Answered) })
	return answers
}

// findLateConfigs finds answers of hosts in touch with a version older than one that was acknowledged
// more than configWithin before the question.
func findLateConfigs(r *jobIndex) (out []string) {
	for _, a := range r.ConfigAnswers {
		due := dueVersion(r.Publications, a.Sent)
		if a.Version < due && r.undisturbed(a.Sent, a.Answered) {
			out = append(out, fmt.Sprintf("host %d has version %d at %v, %d was acknowledged %v before", a.Host, a.Version, r.elapsed(a.Sent), due, configWithin))
		}
	}
	return out
}

// dueVersion returns the newest version that must be in force at a time.
func dueVersion(publications []Publication, at time.Time) (due identifier.ConfigVersion) {
	for _, p := range publications {
		if p.Acked.Add(configWithin).Before(at) {
			due = max(due, p.Version)
		}
	}
	return due
}
