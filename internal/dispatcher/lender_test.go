package dispatcher

import (
	"testing"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/planner"
)

// TestTitlesAreReadAsStored checks the stored owners of workers, also those that other programs wrote.
func TestTitlesAreReadAsStored(t *testing.T) {
	title := planner.Title{Base: 7, To: 2, Granted: true}
	stored, err := appendTitleRecords(nil, []planner.TitleRecord{{Worker: "w", Title: &title}})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		record connector.KeyedRecord
		want   *planner.Title
		none   bool
	}{
		"as stored":       {stored[0], &title, false},
		"deleted":         {connector.KeyedRecord{Key: "ow"}, nil, true},
		"of another kind": {connector.KeyedRecord{Key: "ww", Value: []byte{1}}, nil, true},
		"not a map":       {connector.KeyedRecord{Key: "ow", Value: []byte{1}}, nil, false},
		"cut off":         {connector.KeyedRecord{Key: "ow", Value: stored[0].Value[:2]}, nil, false},
		"no base":         {connector.KeyedRecord{Key: "ow", Value: []byte{0xa0}}, nil, false},
		"negative base":   {connector.KeyedRecord{Key: "ow", Value: []byte{0xa1, 0x01, 0x20}}, nil, false},
		"huge base":       {connector.KeyedRecord{Key: "ow", Value: []byte{0xa1, 0x01, 0x1b, 0xff, 0, 0, 0, 0, 0, 0, 0}}, nil, false},
		"unknown field":   {connector.KeyedRecord{Key: "ow", Value: []byte{0xa2, 0x01, 0x07, 0x18, 0x63, 0x01}}, &planner.Title{Base: 7}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := (&Term{logger: zap.NewNop()}).decodeTitles([]connector.KeyedRecord{tt.record})
			switch {
			case tt.none && len(got) == 0:
			case tt.none || len(got) != 1 || got[0].Worker != "w":
				t.Fatalf("decoded %+v", got)
			case (got[0].Title == nil) != (tt.want == nil) || tt.want != nil && *got[0].Title != *tt.want:
				t.Errorf("title %+v, want %+v", got[0].Title, tt.want)
			}
		})
	}
}

// TestGrantsReachThePlanner checks the grants in an inbox, also those that other programs wrote.
func TestGrantsReachThePlanner(t *testing.T) {
	r, err := intake.EncodeGrant(intake.Grant{Worker: "w", From: 1, Base: 7})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		value []byte
		want  int
	}{
		"as stored":  {r.Value, 1},
		"deleted":    {nil, 0},
		"cut off":    {r.Value[:3], 0},
		"no worker":  {[]byte{0xa1, 0x03, 0x07}, 0},
		"no base":    {[]byte{0xa1, 0x01, 0x61, 'w'}, 0},
		"not a map":  {[]byte{0x07}, 0},
		"wrong type": {[]byte{0xa1, 0x01, 0x07}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			events := (&Term{logger: zap.NewNop()}).inboxEvents([]connector.KeyedRecord{{Key: r.Key, Value: tt.value}})
			if len(events) != tt.want {
				t.Fatalf("events %+v, want %d", events, tt.want)
			}
			for _, e := range events {
				if want := (planner.WorkerGranted{Worker: "w", From: 1, Base: 7, Key: r.Key}); e != want {
					t.Errorf("event %+v, want %+v", e, want)
				}
			}
		})
	}
}
