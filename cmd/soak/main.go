// Command soak runs scheduling hosts as separate processes, breaks them and what they
// depend on by plans that follow from seeds, and checks what callers and workers saw.
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

// errBreaches marks runs that showed a broken promise.
var errBreaches = errors.New("promises broken")

type commandLine struct {
	Seed    uint64  `help:"First seed; zero draws one."`
	Seeds   int     `help:"How many seeds to run, one after the other." default:"1"`
	Minutes float64 `help:"Minutes of load and faults for each seed." default:"1"`
	Hosts   int     `help:"Scheduling hosts, each a process." default:"24"`
	Workers int     `help:"Workers, over three data centres." default:"36"`
	Without []int   `help:"Faults of the plan to leave out, counted from zero."`
	Failed  bool    `help:"Play the seeds that once failed instead."`
	Out     string  `help:"Directory for results, and the logs of seeds that fail." default:"soak-results"`
	Bin     string  `help:"Directory with the programs; they are built if it is not given."`
}

func main() {
	var c commandLine
	k := kong.Parse(&c, kong.Name("soak"), kong.Description("Fault soak of scheduling hosts over the stand-in platform."))
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
	runs := c.options()
	failed := 0
	for _, o := range runs {
		passed, err := c.one(ctx, o)
		if ctx.Err() != nil {
			return err
		}
		if err != nil {
			fmt.Printf("seed %d broke off: %v\n", o.Seed, err)
		}
		if !passed {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds passed\n", len(runs)-failed, len(runs))
	if failed > 0 {
		return errBreaches
	}
	return nil
}

// options returns those of the runs to make.
func (c *commandLine) options() (out []drafter.Options) {
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

// one runs one seed and reports whether all promises were kept.
func (c *commandLine) one(ctx context.Context, o drafter.Options) (passed bool, err error) {
	dir := filepath.Join(c.Out, fmt.Sprintf("seed-%d", o.Seed))
	began := time.Now()
	h, err := soaker.Run(ctx, o, c.Bin, dir)
	if err != nil {
		return false, errors.Wrapf(err, "seed %d, logs in %s", o.Seed, dir)
	}
	out := auditor.Evaluate(h)
	if err := soaker.Write(dir, h, out); err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, jobs %v, %d starts, median %d ms, stalled %d ms, %v\n",
		o.Seed, len(h.Plan.Faults), out.Jobs, out.Starts, out.MedianMs, out.StalledMs, time.Since(began).Round(time.Second))
	for _, b := range out.Breaches {
		fmt.Printf("  %s: %s\n", b.Check, b.What)
	}
	if !out.Passed {
		fmt.Printf("  %s\n  logs, plan and history: %s\n", out.Command, dir)
	}
	return out.Passed, nil
}
