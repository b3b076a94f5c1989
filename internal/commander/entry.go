package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/balsamcove/balsamcove/internal/loader"
	"github.com/balsamcove/balsamcove/internal/server"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

type entryCommand struct {
	Settings string `required:"" help:"Settings file."`
}

// Run runs an entry host until SIGTERM or SIGINT. A second signal kills the process, as the first
// one restores the default handling of signals.
func (c *entryCommand) Run(s *session) error {
	cfg, err := loader.Load(c.Settings)
	if err != nil {
		return err
	}
	logger, err := newEntryLogger(cfg)
	if err != nil {
		return err
	}
	srv, err := server.New(cfg, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(s.ctx, syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return srv.Run(ctx)
}

// newEntryLogger returns a logger that writes JSON to stderr, with the name and the data centre of
// the host in every line.
func newEntryLogger(cfg loader.Settings) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(string(cfg.Log.Level))
	if err != nil {
		return nil, errors.Wrap(err, "parse log level")
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(os.Stderr), level)
	return zap.New(core).With(zap.String("entry", string(cfg.Name)), zap.String("dataCentre", string(cfg.DataCentre))), nil
}

type settingsCommand struct {
	File string `arg:"" help:"Settings file."`
	Kind string `help:"Kind of host: ${enum}." enum:"entry,schedule" default:"entry"`
}

// Run validates a settings file.
func (c *settingsCommand) Run(s *session) error {
	name, err := c.loadHostName()
	if err != nil {
		return err
	}
	out := struct {
		Name string `json:"name"`
	}{string(name)}
	return s.print(out, func() { s.printLine("settings of %s host %s: no problems", c.Kind, out.Name) })
}

// loadHostName reads and validates the settings file and returns the name of its host.
func (c *settingsCommand) loadHostName() (identifier.Entry, error) {
	if c.Kind == "schedule" {
		cfg, err := loader.LoadSchedule(c.File)
		return cfg.Name, err
	}
	cfg, err := loader.Load(c.File)
	return cfg.Name, err
}

type versionCommand struct{}

// Run shows the version.
func (*versionCommand) Run(s *session) error {
	out := struct {
		Version string `json:"version"`
	}{Version}
	return s.print(out, func() { s.printLine("balsamcove %s", out.Version) })
}
