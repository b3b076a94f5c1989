package catcher

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestUnmarshal(t *testing.T) {
	if got, err := Unmarshal[[]int](json.Unmarshal, []byte(`[1,2]`)); err != nil || len(got) != 2 {
		t.Errorf("%v, %v", got, err)
	}
	if _, err := Unmarshal[[]int](json.Unmarshal, []byte(`{`)); err == nil || errors.Is(err, ErrPanic) {
		t.Errorf("error %v, want that of the decoder", err)
	}
	panicking := func([]byte, any) error { panic("odd") }
	if _, err := Unmarshal[[]int](panicking, nil); !errors.Is(err, ErrPanic) {
		t.Errorf("error %v, want ErrPanic", err)
	}
}

func TestDecode(t *testing.T) {
	errOwn := errors.New("own")
	var empty []int
	tests := map[string]struct {
		f    func() (int, error)
		want int
		err  error
	}{
		"value":         {func() (int, error) { return 3, nil }, 3, nil},
		"error":         {func() (int, error) { return 0, errOwn }, 0, errOwn},
		"panic":         {func() (int, error) { panic("odd") }, 0, ErrPanic},
		"runtime error": {func() (int, error) { return empty[5], nil }, 0, ErrPanic},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got, err := Decode(tt.f); got != tt.want || !errors.Is(err, tt.err) || (err == nil) != (tt.err == nil) {
				t.Fatalf("%d, %v; want %d, %v", got, err, tt.want, tt.err)
			}
		})
	}
}
