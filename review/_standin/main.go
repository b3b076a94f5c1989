// Command standin plays a small deployment for the cases of the review: the platform's store, its
// workers, its operator and clients, all on loopback. It starts the project's hosts as separate
// processes, causes the disruption of a case and judges what clients and workers see. It exits with
// 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// cases are the scenarios by name.
var cases = map[string]func(*deployment) (broken bool, err error){
	"retired":  caseRetired,
	"reborn":   caseReborn,
	"clock":    caseClock,
	"schedule": caseSchedule,
	"uneven":   caseUneven,
}

// longest bounds the time of a case.
const longest = 115 * time.Second

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE HOST-PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(play func(*deployment) (bool, error), program, path string) int {
	log, err := newJournal(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d := newDeployment(program, os.Getenv("TROUBLE"), log)
	defer d.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
			log.add("the case was stopped")
		case <-time.After(longest):
			log.add("the case takes too long")
		}
		d.close()
		os.Exit(2)
	}()
	broken, err := play(d)
	switch {
	case err != nil:
		log.add("the case could not run: %v", err)
		return 2
	case broken:
		log.add("result: the rule was broken")
		return 1
	default:
		log.add("result: the rule held")
		return 0
	}
}

// journal writes record.txt, one line an event, with the seconds since the start.
type journal struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	once  map[string]bool
}

func newJournal(path string) (*journal, error) {
	f, err := os.Create(path)
	return &journal{file: f, began: time.Now(), once: map[string]bool{}}, err
}

func (j *journal) add(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = j.file.WriteString(line)
	fmt.Print(line)
}

// addOnce adds a line unless one with the same key was added before.
func (j *journal) addOnce(key, format string, args ...any) {
	j.mu.Lock()
	seen := j.once[key]
	j.once[key] = true
	j.mu.Unlock()
	if !seen {
		j.add(format, args...)
	}
}
