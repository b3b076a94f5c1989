package commander

import (
	"os"

	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/platform"
)

type hostCommand struct {
	Settings string `help:"Settings file of the platform; the platform names it in the environment."`
	LogLevel string `help:"Least level of logged lines." enum:"debug,info,warn,error" default:"info"`
}

// Run runs a scheduling host until a signal stops it.
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

// sinkOptions lets debug lines pass without a limit.
func sinkOptions(level string) []logger.SinkOption {
	if level == "debug" {
		return []logger.SinkOption{logger.WithoutRateLimit()}
	}
	return nil
}
