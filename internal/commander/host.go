package commander

import (
	"os"

	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/platform"
)

type hostCommand struct {
	Settings string `help:"Settings file of the platform; by default, the file that the platform names in the environment."`
	LogLevel string `help:"Minimum level of log lines." enum:"debug,info,warn,error" default:"info"`
}

// Run runs a scheduling host on the users' platform until it is stopped.
func (c *hostCommand) Run(s *session) error {
	sink := logger.NewSink(s.stdout, sinkOptions(c.LogLevel)...)
	defer sink.Close()
	l, err := logger.New(sink, c.LogLevel)
	if err != nil {
		return err
	}
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	return platform.Run(s.ctx, path, l, sink.Dropped)
}

// sinkOptions turns off the rate limit of log lines at level debug.
func sinkOptions(level string) []logger.SinkOption {
	if level == "debug" {
		return []logger.SinkOption{logger.WithoutRateLimit()}
	}
	return nil
}
