// Command balsamcove runs an entry host and holds the tools of operators and
// callers.
package main

import (
	"os"

	"github.com/balsamcove/balsamcove/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
