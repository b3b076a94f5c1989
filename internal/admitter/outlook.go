// Package admitter judges whether a job that comes in can still be done in time, from what the holder
// of its cell says about the work ahead of it.
package admitter

import "time"

// Outlook is what the holder of a cell tells other hosts about the cell.
type Outlook struct {
	// StoreDelay is how long the store takes at present for an append of the holder.
	StoreDelay time.Duration `json:"storeDelay,omitempty"`
}
