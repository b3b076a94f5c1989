package dispatcher

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/catcher"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// roomRequestTimeout bounds a request for idle workers, which is repeated while tasks wait.
const roomRequestTimeout = 400 * time.Millisecond

// askForRoom asks the holder of another cell for idle workers.
func (t *Term) askForRoom(ctx context.Context, c planner.RequestRoom) {
	ctx, cancel := context.WithTimeout(ctx, roomRequestTimeout)
	defer cancel()
	err := t.requestRoom(ctx, c.To, c.Need)
	t.logger.Debug("workers of another cell requested", zap.Int("to", int(c.To)), zap.String("service", string(c.Need.Service)),
		zap.Int("workers", c.Need.Workers), zap.Duration("waitedMs", c.Need.Waited.Std()), logger.Err(err))
}

// sendGrants adds grants of workers to the inbox of the cell that borrows them, and reports that to the
// planner. Storing a grant twice is harmless.
func (t *Term) sendGrants(ctx context.Context, c planner.SendGrants) {
	records := make([]connector.KeyedRecord, 0, len(c.Grants))
	var err error
	for _, g := range c.Grants {
		var r connector.KeyedRecord
		if r, err = intake.EncodeGrant(intake.Grant{Worker: g.Worker, From: t.cell, Base: g.Base}); err != nil {
			break
		}
		records = append(records, r)
	}
	if err == nil {
		err = t.appendInbox(ctx, c.To, records)
	}
	t.logger.Info("workers lent", zap.Int("to", int(c.To)), zap.Int("workers", len(c.Grants)), logger.Err(err))
	t.Notify(planner.GrantsSent{Grants: c.Grants, Err: err})
}

// appendInbox makes one attempt to append records to the inbox of a cell.
func (t *Term) appendInbox(ctx context.Context, cell identifier.Cell, records []connector.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, connector.SharedAppendTimeout)
	defer cancel()
	_, err := t.store.Append(ctx, connector.KeyedAppend{Topic: intake.TopicInbox, Partition: connector.Partition(cell), Records: records})
	return err
}

// appendTitleRecords adds the owners of workers that were lent.
func appendTitleRecords(records []connector.KeyedRecord, titles []planner.TitleRecord) ([]connector.KeyedRecord, error) {
	var err error
	for _, title := range titles {
		if records, err = appendWorkerRecord(records, keyTitlePrefix, title.Worker, title.Title); err != nil {
			return nil, errors.Wrap(err, "encode title")
		}
	}
	return records, nil
}

// decodeTitles decodes the owners of workers that were lent. One that cannot be decoded is logged and
// returned without its title, so that its worker is left to the cell that holds it.
func (t *Term) decodeTitles(records []connector.KeyedRecord) []planner.TitleRecord {
	var out []planner.TitleRecord
	for _, r := range records {
		id, ok := strings.CutPrefix(r.Key, keyTitlePrefix)
		if !ok || len(r.Value) == 0 {
			continue
		}
		rec := planner.TitleRecord{Worker: identifier.Worker(id)}
		title, err := catcher.Unmarshal[planner.Title](cbor.Unmarshal, r.Value)
		if err == nil && (title.Base == 0 || title.Base >= planner.MaxBase || title.To < 0) {
			err = errors.Newf("title with base %d and cell %d", title.Base, title.To)
		}
		if err != nil {
			t.logger.Error("title of a worker cannot be read", zap.String("key", r.Key), logger.Err(err))
		} else {
			rec.Title = &title
		}
		out = append(out, rec)
	}
	return out
}
