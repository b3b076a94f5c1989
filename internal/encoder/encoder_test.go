package encoder

import (
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

func exampleRecords() []Record {
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

func TestEncodeDecodeRoundTrip(t *testing.T) {
	data, err := Encode(exampleRecords())
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range exampleRecords() {
		got := decoded[i].Body
		if snap, ok := got.(Snapshot); ok {
			snap.AtUnixMs = want.Body.(Snapshot).AtUnixMs
			got = snap
		}
		if !reflect.DeepEqual(got, want.Body) {
			t.Errorf("%#v was decoded as %#v", want.Body, got)
		}
	}
}

func TestVerifyDetectsCorruption(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		snap := NewSnapshot(1, rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(rt, "state"))
		snap.State[rapid.IntRange(0, len(snap.State)-1).Draw(rt, "at")] ^= byte(rapid.IntRange(1, 255).Draw(rt, "flip"))
		if !errors.Is(snap.Verify(), ErrCorrupt) {
			rt.Fatal("Verify accepts a snapshot with a changed byte")
		}
	})
}

// FuzzDecode checks that Decode does not panic on arbitrary data and that every error it returns is
// marked ErrMalformed or ErrNewerFormat.
func FuzzDecode(f *testing.F) {
	for _, r := range exampleRecords() {
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
			t.Fatalf("error %v is marked neither ErrMalformed nor ErrNewerFormat", err)
		}
	})
}
