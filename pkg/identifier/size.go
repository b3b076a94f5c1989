package identifier

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Millicores measures processors, in thousandths of one.
	Millicores int64
	// Mebibytes measures memory.
	Mebibytes int64
	// Accelerators counts whole accelerators.
	Accelerators int64
	// Duration is a time.Duration that is written as text, such as 800ms.
	Duration time.Duration
)

const (
	millicoresPerCore = 1000
	mebibytesPerGibi  = 1024
)

// ErrQuantity marks a quantity whose text cannot be read.
var ErrQuantity = errors.New("malformed quantity")

// Size is what a task needs or a worker has, in three dimensions.
type Size struct {
	Processors   Millicores   `yaml:"processors,omitempty" json:"processors" cbor:"1,keyasint,omitempty"`
	Memory       Mebibytes    `yaml:"memory,omitempty" json:"memory" cbor:"2,keyasint,omitempty"`
	Accelerators Accelerators `yaml:"accelerators,omitempty" json:"accelerators" cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of two sizes.
func (s Size) Add(o Size) Size {
	return Size{s.Processors + o.Processors, s.Memory + o.Memory, s.Accelerators + o.Accelerators}
}

// Sub returns s less o.
func (s Size) Sub(o Size) Size {
	return Size{s.Processors - o.Processors, s.Memory - o.Memory, s.Accelerators - o.Accelerators}
}

// Max returns the larger of s and o in each dimension.
func (s Size) Max(o Size) Size {
	return Size{max(s.Processors, o.Processors), max(s.Memory, o.Memory), max(s.Accelerators, o.Accelerators)}
}

// Fits reports whether s is no larger than room in any dimension.
func (s Size) Fits(room Size) bool {
	return s.Processors <= room.Processors && s.Memory <= room.Memory && s.Accelerators <= room.Accelerators
}

// IsZero reports whether all dimensions are zero.
func (s Size) IsZero() bool { return s == Size{} }

// String returns the size as operators write it.
func (s Size) String() string {
	return fmt.Sprintf("%s processors, %s, %d accelerators", s.Processors.text(), s.Memory.text(), s.Accelerators)
}

func (m Millicores) text() string {
	if m%millicoresPerCore == 0 {
		return strconv.FormatInt(int64(m)/millicoresPerCore, 10)
	}
	return strconv.FormatInt(int64(m), 10) + "m"
}

func (m Mebibytes) text() string {
	if m != 0 && m%mebibytesPerGibi == 0 {
		return strconv.FormatInt(int64(m)/mebibytesPerGibi, 10) + "GiB"
	}
	return strconv.FormatInt(int64(m), 10) + "MiB"
}

// ParseScalar reads a number of processors, such as 2 or 500m.
func (m *Millicores) ParseScalar(text string) error {
	digits, unit := text, int64(millicoresPerCore)
	if rest, ok := strings.CutSuffix(text, "m"); ok {
		digits, unit = rest, 1
	}
	n, err := parseCount(digits, unit)
	if err != nil {
		return err
	}
	*m = Millicores(n)
	return nil
}

// Expected describes the accepted text.
func (*Millicores) Expected() string { return "a number of processors such as 2 or 500m" }

// ParseScalar reads an amount of memory, such as 512MiB or 60GiB.
func (m *Mebibytes) ParseScalar(text string) error {
	unit := int64(1)
	digits, ok := strings.CutSuffix(text, "MiB")
	if !ok {
		if digits, ok = strings.CutSuffix(text, "GiB"); !ok {
			return errors.Mark(errors.Newf("no unit in %q", text), ErrQuantity)
		}
		unit = mebibytesPerGibi
	}
	n, err := parseCount(digits, unit)
	if err != nil {
		return err
	}
	*m = Mebibytes(n)
	return nil
}

// Expected describes the accepted text.
func (*Mebibytes) Expected() string { return "an amount of memory such as 512MiB or 60GiB" }

// ParseScalar reads a duration, such as 800ms or 5m.
func (d *Duration) ParseScalar(text string) error {
	v, err := time.ParseDuration(text)
	if err != nil || v < 0 {
		return errors.Mark(errors.Newf("bad duration %q", text), ErrQuantity)
	}
	*d = Duration(v)
	return nil
}

// Expected describes the accepted text.
func (*Duration) Expected() string { return "a duration such as 800ms, 30s or 10m" }

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalYAML writes the duration as text.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// MarshalYAML writes the processors as text.
func (m Millicores) MarshalYAML() (any, error) { return m.text(), nil }

// MarshalYAML writes the memory as text.
func (m Mebibytes) MarshalYAML() (any, error) { return m.text(), nil }

func parseCount(digits string, unit int64) (int64, error) {
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.Mark(errors.Newf("bad number %q", digits), ErrQuantity)
	}
	if n > (1<<53)/unit {
		return 0, errors.Mark(errors.Newf("%q is too large", digits), ErrQuantity)
	}
	return n * unit, nil
}
