package commander

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/balsamcove/balsamcove/pkg/parser"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// columnDataCentre heads the column of data centres.
const columnDataCentre = "DATA CENTRE"

const outputJSON = "json"

// print writes value as JSON, or calls text to print it, as --output says.
func (s *session) print(value any, text func()) error {
	if s.Output == outputJSON {
		enc := json.NewEncoder(s.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	text()
	return nil
}

func (s *session) printLine(format string, args ...any) {
	fmt.Fprintf(s.stdout, format+"\n", args...)
}

// printTable writes a header and rows with aligned columns.
func (s *session) printTable(header []any, rows [][]any) {
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	for _, row := range append([][]any{header}, rows...) {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}

// printProblems writes problems to stderr, or as JSON to stdout.
func (s *session) printProblems(problems []parser.Problem) {
	if s.Output == outputJSON {
		_ = s.print(struct {
			Problems []parser.Problem `json:"problems"`
		}{problems}, nil)
		return
	}
	for _, p := range problems {
		fmt.Fprintln(s.stderr, p)
	}
	fmt.Fprintf(s.stderr, "%d problems; nothing was changed\n", len(problems))
}

// printRefusal writes a refusal to stderr, or as JSON to stdout. If the effect is unknown, it names
// the ID with which the command can be repeated safely.
func (s *session) printRefusal(r *refuser.Refusal) {
	if s.Output == outputJSON {
		_ = s.print(r, nil)
		return
	}
	if len(r.Problems) > 0 {
		s.printProblems(r.Problems)
		return
	}
	fmt.Fprintf(s.stderr, "balsamcove: %s\n", r.Error())
	if r.Effect == refuser.Unknown && r.ID != "" {
		fmt.Fprintf(s.stderr, "the outcome is not known; send it again with --id %s\n", r.ID)
	}
}
