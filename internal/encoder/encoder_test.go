package encoder

import (
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

func examples() []Record {
	return []Record{
		NewRecord(Publish{Publication: "p", Base: 3, Author: "a", Upserts: []StoredObject{{Key: parser.Key{Kind: "team", Name: "t"}, Data: []byte("{}")}}}),
		NewRecord(Submit{Task: "t", Pool: "p", Payload: "x", AtUnixMs: 5}),
		NewRecord(Claim{Task: "t", Attempt: 2, DataCentre: "a", Worker: "w", Epoch: 9, Size: identifier.Size{Processors: 500}, GraceMs: 7, Repeatable: true}),
		NewRecord(Release{Task: "t", Attempt: 2, Reason: ReasonFailed, Checkpoint: "c", MaxAttempts: 3}),
		NewRecord(End{Task: "t", Attempt: 2, Outcome: OutcomeDone}),
		NewRecord(Cancel{Task: "t"}),
		NewRecord(Resume{Task: "t", Attempt: 1}),
		NewRecord(Lease{Holder: "h", Entry: "e", Epoch: 4, Released: true}),
		NewRecord(NewSnapshot(12, []byte("state"))),
	}
}

func TestRecordsSurviveTheLog(t *testing.T) {
	data, err := Encode(examples())
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range examples() {
		got := decoded[i].Body
		if snap, ok := got.(Snapshot); ok {
			snap.AtUnixMs = want.Body.(Snapshot).AtUnixMs
			got = snap
		}
		if !reflect.DeepEqual(got, want.Body) {
			t.Errorf("%#v was read back as %#v", want.Body, got)
		}
	}
}

func TestDamageIsNoticed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		snap := NewSnapshot(1, rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(rt, "state"))
		snap.State[rapid.IntRange(0, len(snap.State)-1).Draw(rt, "at")] ^= byte(rapid.IntRange(1, 255).Draw(rt, "flip"))
		if !errors.Is(snap.Verify(), ErrCorrupt) {
			rt.Fatal("a changed byte was not noticed")
		}
	})
}

// FuzzDecode gives any bytes to the decoder; it may only refuse them with one
// of its two errors.
func FuzzDecode(f *testing.F) {
	for _, r := range examples() {
		data, err := Encode([]Record{r})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte{0xa2, 0x01, 0x02, 0x02, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Decode(data)
		if err != nil && !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrNewerFormat) {
			t.Fatalf("untyped error %v", err)
		}
	})
}
