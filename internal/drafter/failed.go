package drafter

import "time"

// RegressionSeed holds the options of a run that once violated a guarantee.
type RegressionSeed struct {
	Options
	// Cause describes the fault that the run revealed.
	Cause string
}

// RegressionSeeds are the runs to repeat in order to guard against known faults.
var RegressionSeeds = []RegressionSeed{
	{Options{Seed: 488, Hosts: 5, Workers: 9, Span: 14 * time.Second}, "a host logged after its log was closed, and panicked instead of ending"},
	{Options{Seed: 408, Hosts: 5, Workers: 9, Span: 14 * time.Second}, "the two causes below"},
	{defaultOptions(1001), "a job that was cancelled after it had ended was shown as cancelled by the next holder"},
	{defaultOptions(2001), "same cause as seed 1001"},
	{defaultOptions(3001), "a host that had just started refused jobs of queues that it had not read yet as not found"},
	{defaultOptions(4001), "a holder that was paused answered from what it knew before: states went back"},
	{defaultOptions(7004), "a job that was cancelled before its end was stored was shown as completed, and as cancelled by the next holder"},
	{defaultOptions(40120), "a worker that had restarted during a pause of all hosts was told to forget ends that were not read yet"},
}

// defaultOptions returns options with the size and duration of most manual runs.
func defaultOptions(seed uint64) Options {
	return Options{Seed: seed, Hosts: 24, Workers: 36, Span: 42 * time.Second}
}
