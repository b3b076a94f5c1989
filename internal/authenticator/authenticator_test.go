package authenticator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

func TestInvalidKeysAreNotAdded(t *testing.T) {
	tests := map[string]struct {
		key  string
		want error
	}{
		"empty":                {"", ErrKey},
		"huge":                 {strings.Repeat("a", MaxKeyBytes+1), ErrKey},
		"not ASCII":            {"schlüssel", ErrKey},
		"space":                {"a b", ErrKey},
		"line break":           {"a\r\nb", ErrKey},
		"held by another team": {"shared", ErrTaken},
		"listed twice":         {"own", nil},
		"longest":              {strings.Repeat("a", MaxKeyBytes), nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var b Builder
			if err := errors.Join(b.Add("first", "shared"), b.Add("second", "own")); err != nil {
				t.Fatal(err)
			}
			err := b.Add("second", tt.key)
			if tt.want == nil && err != nil || tt.want != nil && !errors.Is(err, tt.want) {
				t.Fatalf("error %v, want %v", err, tt.want)
			}
			if err != nil && tt.key != "" && strings.Contains(err.Error(), tt.key) {
				t.Errorf("error %q contains the key", err)
			}
			if team, ok := b.Keys().Check([]byte("shared")); !ok || team != "first" {
				t.Errorf("shared key belongs to %q, %v", team, ok)
			}
		})
	}
}

func TestBearerKey(t *testing.T) {
	tests := map[string]struct {
		header, want string
		ok           bool
	}{
		"usual":            {"Bearer abc", "abc", true},
		"lower case":       {"bearer abc", "abc", true},
		"two spaces":       {"Bearer  abc", "abc", true},
		"missing":          {"", "", false},
		"no key":           {"Bearer ", "", false},
		"no scheme":        {"abc", "", false},
		"other scheme":     {"Basic abc", "", false},
		"more than a key":  {"Bearer abc def", "", false},
		"key not in ASCII": {"Bearer ä", "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			key, ok := BearerKey([]byte(tt.header))
			if ok != tt.ok || ok && string(key) != tt.want {
				t.Errorf("%q, %v; want %q, %v", key, ok, tt.want, tt.ok)
			}
		})
	}
}

// TestKeysBelongToTheirTeams compares the lookup with a plain map.
func TestKeysBelongToTheirTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Builder
		want := map[string]identifier.Team{}
		key := rapid.StringMatching(`[!-~]{1,3}`)
		for range rapid.IntRange(0, 60).Draw(t, "keys") {
			k, team := key.Draw(t, "key"), identifier.Team(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"))
			owner, taken := want[k]
			if err := b.Add(team, k); errors.Is(err, ErrTaken) != (taken && owner != team) {
				t.Fatalf("team %s, owner %q: %v", team, owner, err)
			}
			if !taken {
				want[k] = team
			}
		}
		keys := b.Keys()
		if keys.Len() != len(want) {
			t.Fatalf("%d keys, want %d", keys.Len(), len(want))
		}
		probe := key.Draw(t, "probe")
		if team, ok := keys.Check([]byte(probe)); team != want[probe] || ok != (want[probe] != "") {
			t.Fatalf("key %q belongs to %q, %v; want %q", probe, team, ok, want[probe])
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{10, 10_000} {
		b.Run(fmt.Sprintf("%d keys", n), func(b *testing.B) {
			var builder Builder
			for i := range n {
				if err := builder.Add("team", fmt.Sprintf("gkcuyj8pjbvk9m6%d", i)); err != nil {
					b.Fatal(err)
				}
			}
			keys, header := builder.Keys(), []byte("Bearer gkcuyj8pjbvk9m67")
			b.ReportAllocs()
			for b.Loop() {
				key, _ := BearerKey(header)
				if _, ok := keys.Check(key); !ok {
					b.Fatal("key is unknown")
				}
			}
		})
	}
}
