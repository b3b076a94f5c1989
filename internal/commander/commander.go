// Package commander is the command line: it parses arguments, runs one command
// and turns its error into an exit code.
package commander

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/client"
	"github.com/balsamcove/balsamcove/pkg/parser"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// The exit codes.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitUnknown     = 4
	ExitUnavailable = 5
)

// Version is the release of the program.
const Version = "0.1.0"

const description = `Balsamcove schedules latency-critical requests and batch tasks on shared machines.

Exit codes: 0 done; 1 failed; 2 invalid input; 3 conflict, nothing changed;
4 effect unknown, sending the same identity again is safe; 5 unavailable,
certainly not done.`

// globals are the flags of every command.
type globals struct {
	Server  []string      `help:"Administration addresses of entry hosts; the first that can be reached is used." env:"BALSAMCOVE_SERVER" default:"127.0.0.1:7201" sep:"," placeholder:"IP:PORT"`
	Output  string        `help:"Output format: ${enum}." enum:"text,json" default:"text" short:"o"`
	Timeout time.Duration `help:"Time limit of a call." default:"15s"`
	Author  string        `help:"Who changes the configuration." env:"USER" default:"operator"`
}

type commandLine struct {
	globals

	Entry    entryCommand    `cmd:"" help:"Run an entry host."`
	Host     hostCommand     `cmd:"" help:"Run a scheduling host on the users' platform."`
	Schedule scheduleCommand `cmd:"" help:"Run a scheduling host on a platform that speaks this project's own protocol."`
	Check    checkCommand    `cmd:"" help:"Check configuration files without publishing them."`
	Publish  publishCommand  `cmd:"" help:"Put configuration files in force."`
	Get      getCommand      `cmd:"" help:"Show the configuration in force."`
	Diff     diffCommand     `cmd:"" help:"Show what publishing files would change."`
	History  historyCommand  `cmd:"" help:"List accepted publications."`
	Drain    drainCommand    `cmd:"" help:"Take a data centre out of service."`
	Restore  restoreCommand  `cmd:"" help:"Take a data centre into service again."`
	Request  requestCommand  `cmd:"" help:"Send a request for a service."`
	Submit   submitCommand   `cmd:"" help:"Submit a batch task."`
	Cancel   cancelCommand   `cmd:"" help:"Cancel batch tasks."`
	Resume   resumeCommand   `cmd:"" help:"Execute a task again whose outcome nobody can tell."`
	Status   statusCommand   `cmd:"" help:"Show an entry host, or a task."`
	List     listCommand     `cmd:"" help:"List batch tasks."`
	Explain  explainCommand  `cmd:"" help:"Say why a task waits."`
	Job      jobCommands     `cmd:"" help:"Submit, follow and cancel jobs of several steps on scheduling hosts."`
	Settings settingsCommand `cmd:"" help:"Check the settings file of a host."`
	Version  versionCommand  `cmd:"" help:"Show the version."`
}

// session is what a command works with.
type session struct {
	globals
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

func (s *session) client() (*client.Client, error) {
	return client.New(s.Server, client.WithTimeout(s.Timeout))
}

// exited carries the exit code with which kong wants to end the program.
type exited int

// Run runs one command and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if r := recover(); r != nil {
			e, ok := r.(exited)
			if !ok {
				panic(r)
			}
			code = int(e)
		}
	}()
	var cl commandLine
	p, err := kong.New(&cl, kong.Name("balsamcove"), kong.Description(description),
		kong.Writers(stdout, stderr), kong.Exit(func(c int) { panic(exited(c)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	parsed, err := p.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "balsamcove: %v\nTry balsamcove --help.\n", err)
		return ExitInvalid
	}
	s := &session{globals: cl.globals, ctx: context.Background(), stdout: stdout, stderr: stderr}
	return report(s, parsed.Run(s))
}

// report prints an error and returns the exit code that fits it.
func report(s *session, err error) int {
	if err == nil {
		return ExitOK
	}
	var invalid *parser.InvalidError
	if errors.As(err, &invalid) {
		s.printProblems(invalid.Problems)
		return ExitInvalid
	}
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		fmt.Fprintf(s.stderr, "balsamcove: %v\n", err)
		return ExitFailure
	}
	s.printRefusal(refusal)
	return exitCode(refusal)
}

func exitCode(r *refuser.Refusal) int {
	switch {
	case r.Code == refuser.CodeInvalid || r.Code == refuser.CodeNeverFits || r.Code == refuser.CodeTooLarge:
		return ExitInvalid
	case r.Code == refuser.CodeConflict || r.Code == refuser.CodeAlreadyEnded:
		return ExitConflict
	case r.Code == refuser.CodeNotFound:
		return ExitFailure
	case r.Effect == refuser.Unknown:
		return ExitUnknown
	default:
		return ExitUnavailable
	}
}
