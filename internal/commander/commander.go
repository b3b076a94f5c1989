// Package commander implements the command line: it parses the arguments, runs one command and
// maps its error to an exit code.
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

// The exit codes; the help text explains them to operators.
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
4 effect unknown, repeating the command with the same ID is safe; 5 unavailable,
nothing done.`

// globals holds the flags that all commands share.
type globals struct {
	Server  []string      `help:"Administration addresses of entry hosts; the first that can be reached is used." env:"BALSAMCOVE_SERVER" default:"127.0.0.1:7201" sep:"," placeholder:"IP:PORT"`
	Output  string        `help:"Output format: ${enum}." enum:"text,json" default:"text" short:"o"`
	Timeout time.Duration `help:"Time limit of a call to a host." default:"15s"`
	Author  string        `help:"Author to record with changes of the configuration." env:"USER" default:"operator"`
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
	Restore  restoreCommand  `cmd:"" help:"Put a data centre back into service."`
	Request  requestCommand  `cmd:"" help:"Send a request for a service."`
	Submit   submitCommand   `cmd:"" help:"Submit a batch task."`
	Cancel   cancelCommand   `cmd:"" help:"Cancel batch tasks."`
	Resume   resumeCommand   `cmd:"" help:"Allow another attempt of a task whose outcome is unknown."`
	Status   statusCommand   `cmd:"" help:"Show the state of an entry host or of a task."`
	List     listCommand     `cmd:"" help:"List batch tasks."`
	Explain  explainCommand  `cmd:"" help:"Explain the state of a task."`
	Job      jobCommands     `cmd:"" help:"Submit, follow and cancel jobs of several steps on scheduling hosts."`
	Team     teamCommands    `cmd:"" help:"Show the teams of scheduling hosts, their limits and what they use."`
	Settings settingsCommand `cmd:"" help:"Check the settings file of a host."`
	Version  versionCommand  `cmd:"" help:"Show the version."`
}

// session holds the flags, the context and the output streams of the command that runs.
type session struct {
	globals
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

func (s *session) newClient() (*client.Client, error) {
	return client.New(s.Server, client.WithTimeout(s.Timeout))
}

// exitPanic is the panic with which kong's exit function unwinds to Run; its value is the exit
// code.
type exitPanic int

// Run runs one command and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if r := recover(); r != nil {
			e, ok := r.(exitPanic)
			if !ok {
				panic(r)
			}
			code = int(e)
		}
	}()
	var cl commandLine
	p, err := kong.New(&cl, kong.Name("balsamcove"), kong.Description(description),
		kong.Writers(stdout, stderr), kong.Exit(func(c int) { panic(exitPanic(c)) }),
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
	return reportError(s, parsed.Run(s))
}

// reportError prints an error and returns its exit code.
func reportError(s *session, err error) int {
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

// exitCode returns the exit code of a refusal. Its code takes precedence over its effect.
func exitCode(r *refuser.Refusal) int {
	switch {
	case r.Code == refuser.CodeInvalid || r.Code == refuser.CodeNeverFits || r.Code == refuser.CodeTooLarge:
		return ExitInvalid
	case r.Code == refuser.CodeConflict || r.Code == refuser.CodeAlreadyEnded:
		return ExitConflict
	case r.Code == refuser.CodeNotFound || r.Code == refuser.CodeUnauthenticated:
		return ExitFailure
	case r.Effect == refuser.Unknown:
		return ExitUnknown
	default:
		return ExitUnavailable
	}
}
