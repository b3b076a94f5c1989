package checker

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/balsamcove/balsamcove/pkg/parser"
)

// FuzzCheck passes arbitrary text to the parser and the checker. Neither may panic, and the
// objects of a valid configuration must have the same keys after they are formatted and parsed
// again.
func FuzzCheck(f *testing.F) {
	examples, _ := filepath.Glob("../../examples/*.yaml")
	for _, e := range examples {
		data, err := os.ReadFile(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(data))
	}
	for _, text := range []string{"", "a", "kind: team", "- 1\n- 2", "kind: [", "a: &a [*a, *a]", "kind: team\nname: \"\\xff\"\nquota: {processors: 99999999999999999999}", "%YAML 1.2\n---\n", "? a\n: b", "kind: !!binary aGk=", "<<: {kind: team}"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed := parser.Parse([]parser.Source{{File: "fuzz", Text: text}})
		if len(Check(NewSet(parsed.Objects...), parsed)) > 0 {
			return
		}
		for _, obj := range parsed.Objects {
			data, err := parser.Format(obj)
			if err != nil {
				t.Fatalf("%s: %v", obj.Key(), err)
			}
			again := parser.Parse([]parser.Source{{File: "again", Text: string(data)}})
			if len(again.Objects) != 1 || again.Objects[0].Key() != obj.Key() {
				t.Fatalf("%s is read back as %v with problems %v from:\n%s", obj.Key(), again.Objects, again.Problems, data)
			}
		}
	})
}
