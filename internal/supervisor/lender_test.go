package supervisor

import (
	"testing"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/dispatcher"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestRoomRequestsReachTheirCell checks that a request for workers reaches the term of the cell that it
// asks, and that others and malformed ones are refused.
func TestRoomRequestsReachTheirCell(t *testing.T) {
	tests := map[string]struct {
		params string
		ok     bool
	}{
		"held here":        {`{"from":0,"to":1,"need":{"service":"s","size":{"processors":1},"workers":2}}`, true},
		"held elsewhere":   {`{"from":0,"to":2,"need":{"service":"s","workers":2}}`, false},
		"not an object":    {`[1]`, false},
		"wrong type":       {`{"from":"0","to":1}`, false},
		"number too large": {`{"from":0,"to":1,"need":{"workers":1e300}}`, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Supervisor{terms: map[identifier.Cell]*runningTerm{1: {term: dispatcher.NewTerm(1, dispatcher.Settings{}, nil, nil, zap.NewNop())}}}
			if _, err := s.handleRoomRequest([]byte(tt.params)); (err == nil) != tt.ok {
				t.Errorf("error %v", err)
			}
		})
	}
}
