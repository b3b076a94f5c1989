package limiter

import "github.com/cockroachdb/errors"

// ErrShape marks the error of a JSON text with more elements or a deeper nesting than a request
// may have.
var ErrShape = errors.New("too many elements")

// Shape is the number of elements of a JSON text, which bounds the memory that it takes decoded,
// and its nesting.
type Shape struct{ Objects, Values, Depth int }

// MaxJobShape is the largest shape of a job: it leaves room for all steps with dependencies on all
// earlier ones.
var MaxJobShape = Shape{Objects: 512, Values: 1 << 16, Depth: 16}

const (
	// objectBytes and valueBytes are what an object and another element take decoded, with room for
	// slices that grow.
	objectBytes = 1 << 10
	valueBytes  = 32
)

// Decoded returns the memory that a text of this shape and length takes decoded, strings included.
func (s Shape) Decoded(length int) Bytes {
	return Bytes(length + s.Objects*objectBytes + s.Values*valueBytes)
}

// CheckShape returns the shape of a JSON text. The text does not have to be valid. The error is
// marked ErrShape if the shape exceeds most.
func CheckShape(text []byte, most Shape) (Shape, error) {
	var s Shape
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			for i++; i < len(text) && text[i] != '"'; i++ {
				if text[i] == '\\' {
					i++
				}
			}
		case '{':
			s.Objects++
			depth++
			s.Depth = max(s.Depth, depth)
		case '[':
			s.Values++
			depth++
			s.Depth = max(s.Depth, depth)
		case '}', ']':
			depth--
		case ',', ':':
			s.Values++
		}
		if s.Objects > most.Objects || s.Values > most.Values || s.Depth > most.Depth {
			return s, errors.Mark(errors.Newf("the text has more than %d objects, %d other elements or %d levels", most.Objects, most.Values, most.Depth), ErrShape)
		}
	}
	return s, nil
}
