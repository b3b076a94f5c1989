package supervisor

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// roomRequest asks the holder of cell To for idle workers on behalf of cell From.
type roomRequest struct {
	From identifier.Cell  `json:"from"`
	To   identifier.Cell  `json:"to"`
	Need planner.RoomNeed `json:"need"`
}

var errHolderUnknown = errors.New("holder is not known")

// requestRoom passes a request for idle workers to the holder of the cell that it asks. The workers
// that it lends arrive as grants.
func (s *Supervisor) requestRoom(ctx context.Context, in roomRequest) error {
	if s.notifyRoomRequest(in) {
		return nil
	}
	address := s.locator.Holder(in.To)
	if address == "" || address == s.settings.PeerAddress {
		return errHolderUnknown
	}
	err := s.rpc.Call(ctx, address, messenger.MethodRequestRoom, in, nil)
	if err != nil {
		// The cell may have another holder by now.
		s.locator.Refresh(ctx)
	}
	return err
}

// notifyRoomRequest passes a request to the term of the cell that it asks, and reports whether this host
// holds that cell.
func (s *Supervisor) notifyRoomRequest(in roomRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.terms[in.To]
	if ok {
		t.term.Notify(planner.RoomRequested{From: in.From, Need: in.Need})
	}
	return ok
}

// handleRoomRequest passes a request of another host on. A malformed request is refused with
// refuser.CodeInvalid.
func (s *Supervisor) handleRoomRequest(params json.RawMessage) (any, error) {
	var in roomRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	if !s.notifyRoomRequest(in) {
		return nil, refuser.New(refuser.CodeUnavailable, "cell %d is not held here", in.To)
	}
	return struct{}{}, nil
}
