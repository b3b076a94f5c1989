package logger

import "go.uber.org/zap"

// Dependency logs when something that this process depends on, such as the store, becomes
// unavailable and when it recovers: one line for each change, not for each failed call. It is not
// safe for concurrent use.
type Dependency struct {
	// Name identifies the dependency in the log lines.
	Name   string
	Logger *zap.Logger

	lost bool
}

// Report records the result of a call to the dependency, and logs a line if its availability
// changed.
func (d *Dependency) Report(err error) {
	switch {
	case err != nil && !d.lost:
		d.Logger.Warn("dependency lost", zap.String("dependency", d.Name), Err(err))
	case err == nil && d.lost:
		d.Logger.Info("dependency regained", zap.String("dependency", d.Name))
	}
	d.lost = err != nil
}
