package soaker

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/auditor"
)

// Write writes the result of a run to its directory. For a failed run it also writes the plan and
// the history; for one that passed it removes the other files, such as logs.
func Write(dir string, h auditor.History, out auditor.Result) error {
	if err := writeJSON(dir, "result.json", out); err != nil {
		return err
	}
	if !out.Passed {
		return errors.CombineErrors(writeJSON(dir, "plan.json", h.Plan), writeJSON(dir, "history.json", h))
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.*"))
	for _, f := range files {
		if filepath.Base(f) != "result.json" {
			err = errors.CombineErrors(err, os.Remove(f))
		}
	}
	return errors.Wrap(err, "remove run files")
}

func writeJSON(dir, name string, what any) error {
	data, err := json.MarshalIndent(what, "", " ")
	if err != nil {
		return errors.Wrapf(err, "encode %s", name)
	}
	return errors.Wrapf(os.WriteFile(filepath.Join(dir, name), data, 0o600), "write %s", name)
}
