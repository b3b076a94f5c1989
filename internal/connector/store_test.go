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

// pagedStore is a store whose pages of newest records are small, and whose keys are told as
// JSON tells them.
type pagedStore struct {
	Store
	keys  []string
	page  int
	calls int
	// stuck makes it return the first page again and again.
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
		if len(page.Records) == s.page {
			page.More = true
			break
		}
		page.Records = append(page.Records, KeyedRecord{Key: strings.ToValidUTF8(k, "\ufffd"), Value: []byte("v")})
	}
	return page, nil
}

// newestWithin returns what NewestAll returns, and fails the test if it does not end.
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
		t.Fatal("the reading of the newest records does not end")
	}
	return keys, err
}

// TestNewestAllPassesMangledKeys checks that keys which are not valid UTF-8, and are told
// as something else, hide no other key, wherever they are in a page.
func TestNewestAllPassesMangledKeys(t *testing.T) {
	for page := 2; page <= 6; page++ {
		t.Run(fmt.Sprintf("pages of %d", page), func(t *testing.T) {
			s := &pagedStore{keys: []string{"a", "b", "b\xf0", "c", "d", "\xff"}, page: page}
			keys, err := newestWithin(t, s)
			for _, want := range []string{"a", "b", "c", "d"} {
				if !slices.Contains(keys, want) {
					t.Errorf("key %q is missing in %q, %v", want, keys, err)
				}
			}
		})
	}
}

// TestNewestAllEnds checks that pages which lead nowhere are an error and no endless loop,
// and that keys of which none is valid are passed.
func TestNewestAllEnds(t *testing.T) {
	tests := map[string]struct {
		store *pagedStore
		want  error
	}{
		"same page again":      {&pagedStore{keys: []string{"a", "b", "c", "d"}, page: 2, stuck: true}, ErrUnknown},
		"only mangled keys":    {&pagedStore{keys: []string{"\xf0", "\xf1", "\xf2"}, page: 2}, nil},
		"last bytes there are": {&pagedStore{keys: []string{"\xfe", "\xff", "\xff\xff", strings.Repeat("\xff", 255)}, page: 1}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if keys, err := newestWithin(t, tt.store); !errors.Is(err, tt.want) {
				t.Fatalf("%q, %v after %d calls; want %v", keys, err, tt.store.calls, tt.want)
			}
		})
	}
}

// TestNewestAllKeepsTheKeysBesideALoneMangledOne checks a page that has room for nothing
// but a mangled key.
func TestNewestAllKeepsTheKeysBesideALoneMangledOne(t *testing.T) {
	s := &pagedStore{keys: []string{"i-1", "i-2", "i-2\xff", "i-3", "i-\xfe", "j-1"}, page: 1}
	slices.Sort(s.keys)
	keys, err := newestWithin(t, s)
	for _, want := range []string{"i-1", "i-2", "i-3", "j-1"} {
		if !slices.Contains(keys, want) {
			t.Errorf("key %q is missing in %q, %v", want, keys, err)
		}
	}
}
