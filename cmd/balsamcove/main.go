// Command balsamcove runs entry hosts and scheduling hosts and provides the commands for operators
// and callers.
package main

import (
	"os"

	"github.com/balsamcove/balsamcove/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
