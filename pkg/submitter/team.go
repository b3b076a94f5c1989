package submitter

import "github.com/balsamcove/balsamcove/pkg/identifier"

// TeamUsage is what a team runs and asks for.
type TeamUsage struct {
	Team identifier.Team `json:"team"`
	// Used is what the team's runs reserve, and Runs their number. Both include runs that are about
	// to start, are being stopped, or may have ended without this being known.
	Used identifier.Size `json:"used"`
	Runs int             `json:"runs"`
	// ReadyTasks are the tasks that wait for a worker or for the team's limit.
	ReadyTasks int `json:"readyTasks"`
}

// TeamReport is a team as operators see it.
type TeamReport struct {
	TeamUsage
	// InForce is set if the configuration in force contains the team, and so its weight and limit.
	InForce bool    `json:"inForce"`
	Weight  float64 `json:"weight"`
	// Limit bounds Used; a resource of zero has no limit.
	Limit identifier.Size `json:"limit"`
}

// TeamReports is a list of teams, ordered by name.
type TeamReports struct {
	Teams []TeamReport `json:"teams"`
}
