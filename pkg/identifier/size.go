package identifier

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Millicores is an amount of processor capacity, in thousandths of a core.
	Millicores int64
	// Mebibytes is an amount of memory, in MiB.
	Mebibytes int64
	// Accelerators is a number of whole accelerators.
	Accelerators int64
	// Duration is a time.Duration that YAML files hold as text, such as 800ms.
	Duration time.Duration
)

const (
	millicoresPerCore = 1000
	mebibytesPerGibi  = 1024
)

// ErrQuantity marks errors about malformed quantities.
var ErrQuantity = errors.New("malformed quantity")

// Size is the amount of each resource that a task requires or a worker offers.
type Size struct {
	Processors   Millicores   `yaml:"processors,omitempty" json:"processors" cbor:"1,keyasint,omitempty"`
	Memory       Mebibytes    `yaml:"memory,omitempty" json:"memory" cbor:"2,keyasint,omitempty"`
	Accelerators Accelerators `yaml:"accelerators,omitempty" json:"accelerators" cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of two sizes.
func (s Size) Add(o Size) Size {
	return Size{s.Processors + o.Processors, s.Memory + o.Memory, s.Accelerators + o.Accelerators}
}

// Sub returns s minus o; the result may be negative.
func (s Size) Sub(o Size) Size {
	return Size{s.Processors - o.Processors, s.Memory - o.Memory, s.Accelerators - o.Accelerators}
}

// Times returns n times s.
func (s Size) Times(n int) Size {
	return Size{s.Processors * Millicores(n), s.Memory * Mebibytes(n), s.Accelerators * Accelerators(n)}
}

// Max returns the larger amount of each resource in s and o.
func (s Size) Max(o Size) Size {
	return Size{max(s.Processors, o.Processors), max(s.Memory, o.Memory), max(s.Accelerators, o.Accelerators)}
}

// Min returns the smaller amount of each resource in s and o.
func (s Size) Min(o Size) Size {
	return Size{min(s.Processors, o.Processors), min(s.Memory, o.Memory), min(s.Accelerators, o.Accelerators)}
}

// Fits reports whether s does not exceed capacity in any resource.
func (s Size) Fits(capacity Size) bool {
	return s.Processors <= capacity.Processors && s.Memory <= capacity.Memory && s.Accelerators <= capacity.Accelerators
}

// CopiesIn returns how many times s fits into capacity; amounts of zero or less fit any number of
// times.
func (s Size) CopiesIn(capacity Size) int {
	n := int64(math.MaxInt32)
	limit := func(amount, available int64) {
		if amount > 0 {
			n = min(n, max(available, 0)/amount)
		}
	}
	limit(int64(s.Processors), int64(capacity.Processors))
	limit(int64(s.Memory), int64(capacity.Memory))
	limit(int64(s.Accelerators), int64(capacity.Accelerators))
	return int(n)
}

// IsZero reports whether the amounts of all resources are zero.
func (s Size) IsZero() bool { return s == Size{} }

// String formats the size for messages, with the units that configuration files use.
func (s Size) String() string {
	return fmt.Sprintf("%s processors, %s, %d accelerators", s.Processors.format(), s.Memory.format(), s.Accelerators)
}

func (m Millicores) format() string {
	if m%millicoresPerCore == 0 {
		return strconv.FormatInt(int64(m)/millicoresPerCore, 10)
	}
	return strconv.FormatInt(int64(m), 10) + "m"
}

func (m Mebibytes) format() string {
	if m != 0 && m%mebibytesPerGibi == 0 {
		return strconv.FormatInt(int64(m)/mebibytesPerGibi, 10) + "GiB"
	}
	return strconv.FormatInt(int64(m), 10) + "MiB"
}

// ParseScalar parses a number of processors, such as 2 or 500m. Its errors are marked with
// ErrQuantity.
func (m *Millicores) ParseScalar(text string) error {
	digits, unit := text, int64(millicoresPerCore)
	if rest, ok := strings.CutSuffix(text, "m"); ok {
		digits, unit = rest, 1
	}
	n, err := parseQuantity(digits, unit)
	if err != nil {
		return err
	}
	*m = Millicores(n)
	return nil
}

// Expected describes the accepted text for error messages.
func (*Millicores) Expected() string { return "a number of processors such as 2 or 500m" }

// ParseScalar parses an amount of memory, such as 512MiB or 60GiB. Its errors are marked with
// ErrQuantity.
func (m *Mebibytes) ParseScalar(text string) error {
	unit := int64(1)
	digits, ok := strings.CutSuffix(text, "MiB")
	if !ok {
		if digits, ok = strings.CutSuffix(text, "GiB"); !ok {
			return errors.Mark(errors.Newf("%q has no unit, want MiB or GiB", text), ErrQuantity)
		}
		unit = mebibytesPerGibi
	}
	n, err := parseQuantity(digits, unit)
	if err != nil {
		return err
	}
	*m = Mebibytes(n)
	return nil
}

// Expected describes the accepted text for error messages.
func (*Mebibytes) Expected() string { return "an amount of memory such as 512MiB or 60GiB" }

// ParseScalar parses a duration of zero or more, such as 800ms or 5m. Its errors are marked with
// ErrQuantity.
func (d *Duration) ParseScalar(text string) error {
	v, err := time.ParseDuration(text)
	if err != nil || v < 0 {
		return errors.Mark(errors.Newf("%q is not a duration of zero or more", text), ErrQuantity)
	}
	*d = Duration(v)
	return nil
}

// Expected describes the accepted text for error messages.
func (*Duration) Expected() string { return "a duration such as 800ms, 30s or 10m" }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalYAML encodes the duration as text that ParseScalar accepts.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// MarshalYAML encodes the processors as text that ParseScalar accepts.
func (m Millicores) MarshalYAML() (any, error) { return m.format(), nil }

// MarshalYAML encodes the memory as text that ParseScalar accepts.
func (m Mebibytes) MarshalYAML() (any, error) { return m.format(), nil }

// parseQuantity parses a whole number of zero or more and multiplies it by unit. Results above
// 2^53 are an error.
func parseQuantity(digits string, unit int64) (int64, error) {
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.Mark(errors.Newf("%q is not a whole number of zero or more", digits), ErrQuantity)
	}
	if n > (1<<53)/unit {
		return 0, errors.Mark(errors.Newf("%q is too large", digits), ErrQuantity)
	}
	return n * unit, nil
}
