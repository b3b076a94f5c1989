package dialer

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// TestUnknownAppendsAreNotRefusedAsNotRun checks that a host which makes a call for another passes on
// that its effect is unknown, if one attempt was lost and another was refused.
func TestUnknownAppendsAreNotRefusedAsNotRun(t *testing.T) {
	mark := func(marks ...error) error {
		err := errors.New("call failed")
		for _, m := range marks {
			err = errors.Mark(err, m)
		}
		return err
	}
	for name, tt := range map[string]struct {
		err  error
		want refuser.Effect
	}{
		"busy":                         {mark(connector.ErrBusy), refuser.NotRun},
		"not sent":                     {mark(connector.ErrNotSent), refuser.NotRun},
		"lost":                         {mark(connector.ErrUnknown), refuser.Unknown},
		"lost, then busy":              {mark(connector.ErrUnknown, connector.ErrBusy), refuser.Unknown},
		"lost, then not sent":          {mark(connector.ErrUnknown, connector.ErrNotSent), refuser.Unknown},
		"lost, then fenced":            {mark(connector.ErrUnknown, connector.ErrFenced), refuser.NotRun},
		"lost, then refused by a peer": {errors.Mark(errors.Mark(refuser.New(CodeBusy, "busy"), connector.ErrBusy), connector.ErrUnknown), refuser.Unknown},
		"without a known mark":         {mark(), refuser.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			if got := StoreRefusal(tt.err).Effect; got != tt.want {
				t.Errorf("effect %s, want %s", got, tt.want)
			}
		})
	}
}
