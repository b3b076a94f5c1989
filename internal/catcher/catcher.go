// Package catcher turns a panic while something is decoded into an error, so that one
// record or message which causes one is skipped like any other that cannot be read.
package catcher

import "github.com/cockroachdb/errors"

// ErrPanic marks the error of a decoder that panicked.
var ErrPanic = errors.New("decoder panicked")

// Decode returns what f returns; a panic becomes an error marked ErrPanic. F must not
// change anything but what it returns.
func Decode[T any](f func() (T, error)) (out T, err error) {
	defer func() {
		if r := recover(); r != nil {
			var none T
			out, err = none, errors.Mark(errors.Newf("panic: %v", r), ErrPanic)
		}
	}()
	return f()
}

// Unmarshal returns what a decoder of an encoding, such as cbor.Unmarshal, reads from data.
func Unmarshal[T any](unmarshal func(data []byte, v any) error, data []byte) (T, error) {
	return Decode(func() (T, error) {
		var out T
		err := unmarshal(data, &out)
		return out, err
	})
}
