package drafter

import "time"

// RegressionSeed is a run that once showed a broken promise.
type RegressionSeed struct {
	Options
	// Cause is what was found.
	Cause string
}

// RegressionSeeds are kept to be played again.
var RegressionSeeds = []RegressionSeed{
	{Options{Seed: 488, Hosts: 5, Workers: 9, Span: 14 * time.Second}, "a host logged after its log was closed, and panicked instead of ending"},
	{Options{Seed: 408, Hosts: 5, Workers: 9, Span: 14 * time.Second}, "the two causes below"},
	{usual(1001), "a job that was cancelled after it had ended was shown as cancelled by the next holder"},
	{usual(2001), "the same"},
	{usual(3001), "a host that had just started refused jobs of queues that it had not read yet as not found"},
	{usual(4001), "a holder that was paused answered from what it knew before: states went back"},
	{usual(7004), "a job that was cancelled before its end was stored was shown as completed, and as cancelled by the next holder"},
}

// usual returns the options of the size that most seeds are played with by hand.
func usual(seed uint64) Options {
	return Options{Seed: seed, Hosts: 24, Workers: 36, Span: 42 * time.Second}
}
