package soaker

import (
	"context"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/auditor"
)

// process is one program that the soak started. Its methods are called by one goroutine.
type process struct {
	name string
	cmd  *exec.Cmd
	// done is closed once the process has ended.
	done chan struct{}

	killed, asked, paused bool
	// since is when it was asked to end or, if it was paused then, when it went on.
	since time.Time
}

// spawner starts processes. They end with the soak, whatever ends it: the kernel kills the
// children of a thread that ends, and so one thread, which lives as long as the soak, starts
// them all.
type spawner struct{ starts chan func() }

func newSpawner() *spawner {
	s := &spawner{make(chan func())}
	go func() {
		runtime.LockOSThread()
		for start := range s.starts {
			start()
		}
	}()
	return s
}

// start runs a program, until it is asked to end or killed, whose output is added to a file.
func (s *spawner) start(name, logPath string, argv ...string) (*process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log of a process")
	}
	defer func() { _ = log.Close() }()
	p := &process{name: name, cmd: exec.CommandContext(context.Background(), argv[0], argv[1:]...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2") // Many processes share the machine.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error)
	s.starts <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // ProcessState tells how it ended.
	}()
	return p, nil
}

// signal sends a signal to this process only; one that has just ended needs none.
func (p *process) signal(sig syscall.Signal) {
	if p.alive() {
		_ = p.cmd.Process.Signal(sig)
	}
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.killed = true
	p.signal(syscall.SIGKILL)
}

// ask lets the process end by itself.
func (p *process) ask() {
	if !p.asked {
		p.asked, p.since = true, time.Now()
		p.signal(syscall.SIGTERM)
	}
}

// pause stops the process or lets it go on.
func (p *process) pause(on bool) {
	switch {
	case on && !p.paused:
		p.signal(syscall.SIGSTOP)
	case !on && p.paused:
		p.signal(syscall.SIGCONT)
		p.since = time.Now()
	}
	p.paused = on
}

// exit tells how the process ended.
func (p *process) exit() auditor.Exit {
	e := auditor.Exit{Process: p.name, At: time.Now(), Status: p.cmd.ProcessState.String(), Killed: p.killed, StopRequested: p.asked, OK: p.cmd.ProcessState.Success()}
	if p.asked {
		e.Took = time.Since(p.since)
	}
	return e
}
