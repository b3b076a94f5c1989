package publisher

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// TestVersionsFollowTheLog applies random publications and checks that one is accepted only if its
// base is in force, which raises the version by one, or if it was accepted before, which changes
// nothing.
func TestVersionsFollowTheLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var p Publisher
		accepted := map[identifier.Publication]identifier.ConfigVersion{}
		for range rapid.IntRange(1, 50).Draw(rt, "records") {
			id := identifier.Publication(rapid.StringMatching("[a-f]").Draw(rt, "id"))
			base := identifier.ConfigVersion(rapid.IntRange(0, 6).Draw(rt, "base"))
			before := p.Version()
			key := parser.Key{Kind: parser.KindTeam, Name: string(id)}
			result := p.Apply(encoder.Publish{Publication: id, Base: base, Upserts: []encoder.StoredObject{{Key: key}}})
			first, again := accepted[id]
			switch v := result.(type) {
			case Accepted:
				if again && (v.Change.Version != first || p.Version() != before) {
					rt.Fatalf("publication %s accepted as %d and again as %d", id, first, v.Change.Version)
				}
				if !again && (base != before || p.Version() != before+1) {
					rt.Fatalf("publication on %d accepted while %d was in force", base, before)
				}
				accepted[id] = v.Change.Version
			case Conflict:
				if again || base == before || p.Version() != before {
					rt.Fatalf("publication %s on %d refused while %d was in force (accepted before: %t)", id, base, before, again)
				}
			}
		}
	})
}

// TestSetShowsWhatIsInForce guards against stale cached objects: Set has to return replaced,
// deleted and restored objects as they are in force.
func TestSetShowsWhatIsInForce(t *testing.T) {
	var p Publisher
	put := func(quota identifier.Millicores) encoder.StoredObject {
		stored, err := EncodeObject(&parser.Team{Kind: parser.KindTeam, Name: "t", Quota: identifier.Size{Processors: quota}})
		if err != nil {
			t.Fatal(err)
		}
		return stored
	}
	key := parser.Key{Kind: parser.KindTeam, Name: "t"}
	steps := []struct {
		rec  encoder.Publish
		want identifier.Millicores
	}{
		{encoder.Publish{Publication: "1", Base: 0, Upserts: []encoder.StoredObject{put(5)}}, 5},
		{encoder.Publish{Publication: "2", Base: 1, Upserts: []encoder.StoredObject{put(7)}}, 7},
		{encoder.Publish{Publication: "3", Base: 2, Deletes: []parser.Key{key}}, 0},
		{encoder.Publish{Publication: "4", Base: 3, Upserts: []encoder.StoredObject{put(9)}}, 9},
	}
	for _, step := range steps {
		p.Apply(step.rec)
		set, err := p.Set()
		if err != nil {
			t.Fatal(err)
		}
		var got identifier.Millicores
		if team := set.Teams["t"]; team != nil {
			got = team.Quota.Processors
		}
		if got != step.want {
			t.Errorf("publication %s: quota %d in force, want %d", step.rec.Publication, got, step.want)
		}
	}
}
