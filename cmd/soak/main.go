// Command soak runs scheduling hosts as separate processes, injects faults into them and their
// dependencies by a plan that is derived from a seed, and checks the guarantees against what
// callers and workers recorded.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/auditor"
	"github.com/balsamcove/balsamcove/internal/drafter"
	"github.com/balsamcove/balsamcove/internal/soaker"
)

// errBrokenGuarantees is returned if a seed broke a guarantee or could not be run to its end.
var errBrokenGuarantees = errors.New("promises broken")

type commandLine struct {
	Seed    uint64  `help:"First seed; zero chooses one at random."`
	Seeds   int     `help:"Number of seeds to run, one after the other." default:"1"`
	Minutes float64 `help:"Minutes of load and faults for each seed." default:"1"`
	Hosts   int     `help:"Number of scheduling hosts, each a process." default:"24"`
	Workers int     `help:"Number of workers in all three data centres together." default:"36"`
	Without []int   `help:"Indexes of faults to leave out of the plan, counted from zero."`
	Failed  bool    `help:"Run the recorded seeds that have failed before instead."`
	Out     string  `help:"Directory for the results, and for the logs of seeds that fail." default:"soak-results"`
	Bin     string  `help:"Directory with the programs; by default, they are built."`
}

func main() {
	var c commandLine
	k := kong.Parse(&c, kong.Name("soak"), kong.Description("Soak test of scheduling hosts with fault injection, on the stand-in platform."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.FatalIfErrorf(c.run(ctx))
}

func (c *commandLine) run(ctx context.Context) error {
	if c.Seed == 0 {
		c.Seed = rand.Uint64N(1_000_000_000) + 1
	}
	if c.Bin == "" {
		dir, err := os.MkdirTemp("", "soak-bin-")
		if err != nil {
			return errors.Wrap(err, "create directory for the programs")
		}
		defer func() { _ = os.RemoveAll(dir) }()
		c.Bin = dir
		build := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), "./cmd/balsamcove", "./cmd/standin")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			return errors.Wrap(err, "build the programs")
		}
	}
	runs := c.runOptions()
	failed := 0
	for _, o := range runs {
		passed, err := c.runSeed(ctx, o)
		if ctx.Err() != nil {
			return err
		}
		if err != nil {
			fmt.Printf("seed %d aborted: %v\n", o.Seed, err)
		}
		if !passed {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds passed\n", len(runs)-failed, len(runs))
	if failed > 0 {
		return errBrokenGuarantees
	}
	return nil
}

// runOptions returns the options of each run.
func (c *commandLine) runOptions() (out []drafter.Options) {
	if c.Failed {
		for _, f := range drafter.RegressionSeeds {
			out = append(out, f.Options)
		}
		return out
	}
	for i := range c.Seeds {
		out = append(out, drafter.Options{
			Seed: c.Seed + uint64(i), Hosts: c.Hosts, Workers: c.Workers, Span: time.Duration(c.Minutes * float64(time.Minute)).Round(time.Second), Without: c.Without,
		})
	}
	return out
}

// runSeed runs one seed, writes its results to a directory of its own under Out, prints a summary
// and reports whether all guarantees held.
func (c *commandLine) runSeed(ctx context.Context, o drafter.Options) (passed bool, err error) {
	dir := filepath.Join(c.Out, fmt.Sprintf("seed-%d", o.Seed))
	start := time.Now()
	h, err := soaker.Run(ctx, o, c.Bin, dir)
	if err != nil {
		return false, errors.Wrapf(err, "seed %d, logs in %s", o.Seed, dir)
	}
	result := auditor.Evaluate(h)
	if err := soaker.Write(dir, h, result); err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, jobs %v, %d starts, median %d ms, stalled %d ms, %v\n",
		o.Seed, len(h.Plan.Faults), result.Jobs, result.Starts, result.MedianMs, result.StalledMs, time.Since(start).Round(time.Second))
	for _, b := range result.Breaches {
		fmt.Printf("  %s: %s\n", b.Check, b.What)
	}
	if !result.Passed {
		fmt.Printf("  %s\n  logs, plan and history: %s\n", result.Command, dir)
	}
	return result.Passed, nil
}
