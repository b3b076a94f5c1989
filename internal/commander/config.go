package commander

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/checker"
	"github.com/balsamcove/balsamcove/pkg/client"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// drainPollInterval is how often drain --wait asks how many tasks are left.
const drainPollInterval = 200 * time.Millisecond

// readObjects reads and parses configuration files. The problems found in them are part of the
// result; the error is only that of reading a file.
func readObjects(files []string) (*parser.Parsed, error) {
	sources, err := readSources(files)
	if err != nil {
		return nil, err
	}
	return parser.Parse(sources), nil
}

func readSources(files []string) ([]parser.Source, error) {
	var out []parser.Source
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, errors.Wrap(err, "read configuration")
		}
		out = append(out, parser.Source{File: f, Text: string(data)})
	}
	return out, nil
}

type checkCommand struct {
	Files []string `arg:"" help:"Configuration files that together hold the complete configuration."`
}

// Run validates the files as one complete configuration.
func (c *checkCommand) Run(s *session) error {
	parsed, err := readObjects(c.Files)
	if err != nil {
		return err
	}
	problems := checker.Check(checker.NewSet(parsed.Objects...), parsed)
	if len(problems) > 0 {
		return &parser.InvalidError{Problems: problems}
	}
	out := struct {
		Objects int `json:"objects"`
	}{len(parsed.Objects)}
	return s.print(out, func() { s.printLine("%d objects, no problems", out.Objects) })
}

type publishCommand struct {
	Files  []string `arg:"" optional:"" help:"Configuration files; objects that are not in them stay unchanged."`
	Delete []string `help:"Objects to delete, such as service/hire-desk." placeholder:"KIND/NAME"`
	Base   *uint64  `help:"Version that the change was made against; by default, whatever is in force." placeholder:"VERSION"`
	ID     string   `help:"ID of the publication; publishing again with the same ID is safe." placeholder:"ID"`
}

// Run publishes the files.
func (c *publishCommand) Run(s *session) error {
	sources, err := readSources(c.Files)
	if err != nil {
		return err
	}
	if problems := parser.Parse(sources).Problems; len(problems) > 0 {
		return &parser.InvalidError{Problems: problems}
	}
	p := client.Publication{ID: identifier.Publication(c.ID), Author: s.Author, Sources: sources}
	if c.ID == "" {
		p.ID = identifier.Publication(identifier.NewName("p-"))
	}
	if c.Base != nil {
		base := identifier.ConfigVersion(*c.Base)
		p.Base = &base
	}
	if p.Deletes, err = parseKeys(c.Delete); err != nil {
		return err
	}
	return s.publish(p)
}

func (s *session) publish(p client.Publication) error {
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	change, err := cl.Publish(s.ctx, p)
	if err != nil {
		return err
	}
	return s.print(change, func() { s.printLine("accepted: version %d (%s)", change.Version, change.Publication) })
}

func parseKeys(texts []string) ([]parser.Key, error) {
	var out []parser.Key
	var problems []parser.Problem
	for _, text := range texts {
		kind, name, ok := strings.Cut(text, "/")
		if !ok || parser.New(parser.Kind(kind)) == nil || name == "" {
			problems = append(problems, parser.Problem{Field: "--delete", Wrong: fmt.Sprintf("%q is not the key of an object", text), Want: "KIND/NAME such as service/hire-desk"})
			continue
		}
		out = append(out, parser.Key{Kind: parser.Kind(kind), Name: name})
	}
	if len(problems) > 0 {
		return nil, &parser.InvalidError{Problems: problems}
	}
	return out, nil
}

type getCommand struct {
	Objects []string `arg:"" optional:"" help:"Objects to show, such as service/hire-desk; by default, all." placeholder:"KIND/NAME"`
}

// Run shows the configuration in force.
func (c *getCommand) Run(s *session) error {
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	cfg, err := cl.Config(s.ctx)
	if err != nil {
		return err
	}
	wanted := map[string]bool{}
	for _, o := range c.Objects {
		wanted[o] = true
	}
	selected := cfg.Objects[:0]
	for _, o := range cfg.Objects {
		if len(wanted) == 0 || wanted[o.Key.String()] {
			selected = append(selected, o)
		}
	}
	cfg.Objects = selected
	return s.print(cfg, func() {
		s.printLine("# version %d", cfg.Version)
		for _, o := range selected {
			s.printLine("---\n%s", strings.TrimSpace(o.Text))
		}
	})
}

type diffCommand struct {
	Files []string `arg:"" help:"Configuration files."`
}

// Run shows what publishing the files would change.
func (c *diffCommand) Run(s *session) error {
	parsed, err := readObjects(c.Files)
	if err != nil {
		return err
	}
	if len(parsed.Problems) > 0 {
		return &parser.InvalidError{Problems: parsed.Problems}
	}
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	cfg, err := cl.Config(s.ctx)
	if err != nil {
		return err
	}
	changes, err := diffConfig(cfg, parsed.Objects)
	if err != nil {
		return err
	}
	return s.print(changes, func() {
		s.printLine("against version %d: %d added, %d changed", changes.Version, len(changes.Added), len(changes.Changed))
		for _, o := range changes.Added {
			s.printLine("+ %s", o)
		}
		for _, o := range changes.Changed {
			s.printLine("~ %s\n%s", o.Key, o.Lines)
		}
	})
}

type objectDiff struct {
	Key   string `json:"key"`
	Lines string `json:"lines"`
}

type configDiff struct {
	Version identifier.ConfigVersion `json:"version"`
	Added   []string                 `json:"added"`
	Changed []objectDiff             `json:"changed"`
}

// diffConfig compares objects with those of the same key in a configuration.
func diffConfig(cfg client.Config, objects []parser.Object) (configDiff, error) {
	out := configDiff{Version: cfg.Version}
	inForce := map[string]string{}
	for _, o := range cfg.Objects {
		inForce[o.Key.String()] = o.Text
	}
	for _, obj := range objects {
		key := obj.Key().String()
		text, err := parser.Format(obj)
		if err != nil {
			return out, err
		}
		old, ok := inForce[key]
		switch {
		case !ok:
			out.Added = append(out.Added, key)
		case old != string(text):
			out.Changed = append(out.Changed, objectDiff{key, diffText(old, string(text))})
		}
	}
	return out, nil
}

// diffText lists the lines that occur in only one of two texts.
func diffText(old, changed string) string {
	var b strings.Builder
	containsLine := func(text, line string) bool { return strings.Contains("\n"+text, "\n"+line+"\n") }
	for _, l := range strings.Split(strings.TrimSpace(old), "\n") {
		if !containsLine(changed, l) {
			fmt.Fprintf(&b, "  - %s\n", l)
		}
	}
	for _, l := range strings.Split(strings.TrimSpace(changed), "\n") {
		if !containsLine(old, l) {
			fmt.Fprintf(&b, "  + %s\n", l)
		}
	}
	return strings.TrimRight(b.String(), "\n")
}

type historyCommand struct{}

// Run lists the accepted publications.
func (*historyCommand) Run(s *session) error {
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	h, err := cl.History(s.ctx)
	if err != nil {
		return err
	}
	return s.print(h, func() {
		var rows [][]any
		for _, c := range h.Changes {
			at := time.UnixMilli(c.AtUnixMs).UTC().Format(time.RFC3339)
			rows = append(rows, []any{c.Version, at, c.Author, c.Publication, strings.Join(append(c.Upserts, c.Deletes...), " ")})
		}
		s.printTable([]any{"VERSION", "AT", "AUTHOR", "PUBLICATION", "OBJECTS"}, rows)
	})
}

type drainCommand struct {
	DataCentre string        `arg:"" help:"Data centre to take out of service."`
	Wait       bool          `help:"Wait until the data centre holds no tasks, and print those that are left."`
	Limit      time.Duration `help:"Time limit of --wait." default:"10m"`
}

// Run takes a data centre out of service. With --wait it fails if the data centre still holds tasks
// at the time limit.
func (c *drainCommand) Run(s *session) error {
	dc := identifier.DataCentre(c.DataCentre)
	if err := s.publishState(dc, parser.Drained); err != nil || !c.Wait {
		return err
	}
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	remaining := -1
	for deadline := time.Now().Add(c.Limit); time.Now().Before(deadline); time.Sleep(drainPollInterval) {
		p, err := cl.Progress(s.ctx, dc)
		if err != nil {
			return err
		}
		if p.Claimed != remaining {
			remaining = p.Claimed
			if err := s.print(p, func() { s.printLine("%d tasks left in %s %v", p.Claimed, dc, p.Tasks) }); err != nil {
				return err
			}
		}
		if remaining == 0 {
			return nil
		}
	}
	return errors.Newf("data centre %s still holds %d tasks after %s", dc, remaining, c.Limit)
}

type restoreCommand struct {
	DataCentre string `arg:"" help:"Data centre to put back into service."`
}

// Run puts a data centre back into service.
func (c *restoreCommand) Run(s *session) error {
	return s.publishState(identifier.DataCentre(c.DataCentre), parser.InService)
}

// publishState publishes a data centre with a new state. The version that it was read from is the
// base, so that a concurrent change is a conflict and is not overwritten.
func (s *session) publishState(dc identifier.DataCentre, state parser.Availability) error {
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	cfg, err := cl.Config(s.ctx)
	if err != nil {
		return err
	}
	key := parser.Key{Kind: parser.KindDataCentre, Name: string(dc)}
	for _, o := range cfg.Objects {
		if o.Key != key {
			continue
		}
		text, err := withState(o, state)
		if err != nil {
			return err
		}
		return s.publish(client.Publication{
			ID:   identifier.Publication(identifier.NewName("p-")),
			Base: &cfg.Version, Author: s.Author,
			Sources: []parser.Source{{File: key.String(), Text: text}},
		})
	}
	return refuser.New(refuser.CodeNotFound, "there is no data centre %q", dc)
}

// withState returns the YAML text of a data centre with its state replaced.
func withState(o client.ObjectText, state parser.Availability) (string, error) {
	parsed := parser.Parse([]parser.Source{{File: o.Key.String(), Text: o.Text}})
	if len(parsed.Problems) > 0 {
		return "", &parser.InvalidError{Problems: parsed.Problems}
	}
	for _, obj := range parsed.Objects {
		if dc, ok := obj.(*parser.DataCentre); ok {
			dc.State = state
		}
	}
	text, err := parser.Format(parsed.Objects[0])
	return string(text), err
}
