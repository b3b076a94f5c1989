package connector

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// pagedStore is a store with small pages of newest records. As in JSON, its keys arrive with
// replacement characters in place of invalid UTF-8.
type pagedStore struct {
	Store
	keys     []string
	pageSize int
	calls    int
	// stuck makes Newest return the first page for every cursor.
	stuck bool
}

// Newest implements Store.
func (s *pagedStore) Newest(_ context.Context, _ Topic, _ Partition, after string) (KeyedPage, error) {
	s.calls++
	page := KeyedPage{End: identifier.Offset(len(s.keys))}
	for _, k := range s.keys {
		if k <= after && !s.stuck {
			continue
		}
		if len(page.Records) == s.pageSize {
			page.More = true
			break
		}
		page.Records = append(page.Records, KeyedRecord{Key: strings.ToValidUTF8(k, "\ufffd"), Value: []byte("v")})
	}
	return page, nil
}

// newestWithin returns the keys and the error of NewestAll, and fails the test if it does not
// return within 10 s.
func newestWithin(t *testing.T, s Store) (keys []string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		var records []KeyedRecord
		records, _, err = NewestAll(ctx, s, "servers", 0)
		for _, r := range records {
			keys = append(keys, r.Key)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("NewestAll does not return")
	}
	return keys, err
}

// TestNewestAllSkipsInvalidUTF8Keys checks that keys that are not valid UTF-8, and so arrive
// altered, hide no other key, wherever they are in a page.
func TestNewestAllSkipsInvalidUTF8Keys(t *testing.T) {
	for pageSize := 2; pageSize <= 6; pageSize++ {
		t.Run(fmt.Sprintf("pages of %d", pageSize), func(t *testing.T) {
			s := &pagedStore{keys: []string{"a", "b", "b\xf0", "c", "d", "\xff"}, pageSize: pageSize}
			keys, err := newestWithin(t, s)
			for _, want := range []string{"a", "b", "c", "d"} {
				if !slices.Contains(keys, want) {
					t.Errorf("key %q is missing in %q, %v", want, keys, err)
				}
			}
		})
	}
}

// TestNewestAllTerminates checks that pages that do not advance cause an error instead of an
// endless loop, and that partitions with only invalid UTF-8 keys are read to their end.
func TestNewestAllTerminates(t *testing.T) {
	tests := map[string]struct {
		store *pagedStore
		want  error
	}{
		"same page again":   {&pagedStore{keys: []string{"a", "b", "c", "d"}, pageSize: 2, stuck: true}, ErrUnknown},
		"only invalid keys": {&pagedStore{keys: []string{"\xf0", "\xf1", "\xf2"}, pageSize: 2}, nil},
		"greatest keys":     {&pagedStore{keys: []string{"\xfe", "\xff", "\xff\xff", strings.Repeat("\xff", 255)}, pageSize: 1}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if keys, err := newestWithin(t, tt.store); !errors.Is(err, tt.want) {
				t.Fatalf("%q, %v after %d calls; want %v", keys, err, tt.store.calls, tt.want)
			}
		})
	}
}

// TestNewestAllSkipsPageWithOnlyInvalidUTF8Key checks that no key is missed if a page holds a
// single key and that key is not valid UTF-8.
func TestNewestAllSkipsPageWithOnlyInvalidUTF8Key(t *testing.T) {
	s := &pagedStore{keys: []string{"i-1", "i-2", "i-2\xff", "i-3", "i-\xfe", "j-1"}, pageSize: 1}
	slices.Sort(s.keys)
	keys, err := newestWithin(t, s)
	for _, want := range []string{"i-1", "i-2", "i-3", "j-1"} {
		if !slices.Contains(keys, want) {
			t.Errorf("key %q is missing in %q, %v", want, keys, err)
		}
	}
}
