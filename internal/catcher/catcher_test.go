package catcher

import (
	"testing"

	"github.com/cockroachdb/errors"
)

func TestDecode(t *testing.T) {
	errOwn := errors.New("own")
	var none []int
	tests := map[string]struct {
		f    func() (int, error)
		want int
		err  error
	}{
		"value":         {func() (int, error) { return 3, nil }, 3, nil},
		"error":         {func() (int, error) { return 0, errOwn }, 0, errOwn},
		"panic":         {func() (int, error) { panic("odd") }, 0, ErrPanic},
		"runtime error": {func() (int, error) { return none[5], nil }, 0, ErrPanic},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got, err := Decode(tt.f); got != tt.want || !errors.Is(err, tt.err) || (err == nil) != (tt.err == nil) {
				t.Fatalf("%d, %v; want %d, %v", got, err, tt.want, tt.err)
			}
		})
	}
}
