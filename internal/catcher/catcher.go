// Package catcher recovers from panics of decoders and returns them as errors, so that a record or
// message that makes a decoder panic is skipped like any other that cannot be decoded.
package catcher

import "github.com/cockroachdb/errors"

// ErrPanic marks the error of a decoder that panicked.
var ErrPanic = errors.New("decoder panicked")

// Decode calls f and returns its result; if f panics, the error is marked ErrPanic. F must have no
// side effects, since a panic may leave them half done.
func Decode[T any](f func() (T, error)) (out T, err error) {
	defer func() {
		if r := recover(); r != nil {
			var zero T
			out, err = zero, errors.Mark(errors.Newf("panic: %v", r), ErrPanic)
		}
	}()
	return f()
}

// Unmarshal decodes data with an unmarshal function such as cbor.Unmarshal. The error is that of
// unmarshal, or marked ErrPanic.
func Unmarshal[T any](unmarshal func(data []byte, v any) error, data []byte) (T, error) {
	return Decode(func() (T, error) {
		var out T
		err := unmarshal(data, &out)
		return out, err
	})
}
