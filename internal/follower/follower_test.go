package follower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/emulator"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const stream identifier.Stream = "s"

// counter counts submissions.
type counter struct{ n byte }

func (c *counter) Apply(encoder.Record) any    { c.n++; return c.n }
func (c *counter) Marshal() ([]byte, error)    { return []byte{c.n, 0, 0, 0, 0, 0, 0, 0, 0}, nil }
func (c *counter) Unmarshal(data []byte) error { c.n = data[0]; return nil }

func (*counter) Reset(base identifier.Offset) error {
	if base > 0 {
		return errors.New("state is needed")
	}
	return nil
}

func add(t *testing.T, log *emulator.Log, body encoder.Body) {
	t.Helper()
	data, err := encoder.Encode([]encoder.Record{encoder.NewRecord(body)})
	if err == nil {
		err = log.Append(context.Background(), stream, data)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// follow reads the stream for a second and returns the state.
func follow(log *emulator.Log) (n byte, known bool, err error) {
	c := &counter{}
	f := New(log, stream, c, Timing{PollInterval: 10 * time.Millisecond, ReadTimeout: time.Second})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err = f.Run(ctx)
	_, known = f.Position()
	return c.n, known, err
}

func TestBootFromSnapshots(t *testing.T) {
	snapshot := func(next identifier.Offset, n byte) encoder.Snapshot {
		return encoder.NewSnapshot(next, []byte{n, 0, 0, 0, 0, 0, 0, 0, 0})
	}
	tests := map[string]struct {
		damage  []identifier.Offset
		garbage bool
		want    byte
		lost    bool
	}{
		"newest snapshot":          {want: 4},
		"first snapshot damaged":   {damage: []identifier.Offset{3}, want: 4},
		"both snapshots damaged":   {damage: []identifier.Offset{3, 5}, lost: true},
		"record that is no record": {garbage: true, want: 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &emulator.Log{}
				add(t, log, encoder.Submit{Task: "0"})
				add(t, log, encoder.Submit{Task: "1"})
				time.Sleep(time.Minute)
				add(t, log, encoder.Submit{Task: "2"})
				add(t, log, snapshot(2, 2))
				add(t, log, encoder.Submit{Task: "3"})
				add(t, log, snapshot(5, 4))
				if tc.garbage {
					if err := log.Append(context.Background(), stream, []byte("garbage")); err != nil {
						t.Fatal(err)
					}
				}
				log.Expire(30 * time.Second)
				for _, off := range tc.damage {
					log.Corrupt(stream, off)
				}
				n, known, err := follow(log)
				if errors.Is(err, ErrStateLost) != tc.lost {
					t.Fatalf("error %v, want lost %t", err, tc.lost)
				}
				if !tc.lost && (!known || n != tc.want) {
					t.Errorf("state %d (known %t), want %d", n, known, tc.want)
				}
			})
		})
	}
}

func TestNewerFormatStopsTheFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &emulator.Log{}
		add(t, log, encoder.Submit{Task: "0"})
		// A map with format 2 and no records, in CBOR.
		if err := log.Append(context.Background(), stream, []byte{0xa2, 0x01, 0x02, 0x02, 0x80}); err != nil {
			t.Fatal(err)
		}
		n, _, err := follow(log)
		if !errors.Is(err, encoder.ErrNewerFormat) || n != 1 {
			t.Errorf("state %d, error %v; want 1 and ErrNewerFormat", n, err)
		}
	})
}
