package commander

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestCommands runs the command lines in testdata in a temporary directory and compares their
// output and exit codes. The directives are:
//
//	file name=NAME   writes the input to a file
//	run              runs the input as a command line and prints its output and exit code
func TestCommands(t *testing.T) {
	dir, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.Walk(t, dir, func(t *testing.T, path string) {
		t.Chdir(t.TempDir())
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				var name string
				d.ScanArgs(t, "name", &name)
				if err := os.WriteFile(name, []byte(d.Input+"\n"), 0o600); err != nil {
					t.Fatal(err)
				}
				return ""
			case "run":
				return runCommandLine(strings.Fields(d.Input))
			default:
				return "unknown directive " + d.Cmd
			}
		})
	})
}

func runCommandLine(args []string) string {
	var stdout, stderr bytes.Buffer
	code := Run(args, &stdout, &stderr)
	return fmt.Sprintf("%s%sexit %d\n", stdout.String(), stderr.String(), code)
}

// TestExamplesAreValid checks every file in examples with the command for its type.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, f := range files {
		command := []string{"check"}
		switch filepath.Base(f) {
		case "entry.yaml":
			command = []string{"settings"}
		case "schedule.yaml":
			command = []string{"settings", "--kind", "schedule"}
		case "job.yaml":
			command = []string{"job", "submit", "--check"}
		}
		if out := runCommandLine(append(command, f)); !strings.HasSuffix(out, "exit 0\n") {
			t.Errorf("%s: %s", f, out)
		}
	}
}
