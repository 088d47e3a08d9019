// This file defines the loggers.

package clobserve

import (
	"io"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// prefixCore puts a component's prefix before each message.
type prefixCore struct {
	zapcore.Core
	prefix string
}

var _ zapcore.Core = (*prefixCore)(nil)

// NewLogger returns a logger that writes lines to w; level is "debug", "info",
// "warn" or "error", and format is "json" or "console".
func NewLogger(w io.Writer, level, format string) (*zap.Logger, error) {
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "set log.level to debug, info, warn or error")
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.MessageKey = "time", "message"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	var enc zapcore.Encoder
	switch format {
	case "json":
		enc = zapcore.NewJSONEncoder(cfg)
	case "console":
		enc = zapcore.NewConsoleEncoder(cfg)
	default:
		return nil, errors.Errorf("log format %q is unknown; set log.format to json or console", format)
	}
	return zap.New(zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(w)), lowest)), nil
}

// Component returns a logger whose messages start with name and ": ", in
// place of the prefix that l may have.
func Component(l *zap.Logger, name string) *zap.Logger {
	return l.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		if outer, ok := core.(*prefixCore); ok {
			core = outer.Core
		}
		return &prefixCore{Core: core, prefix: name + ": "}
	}))
}

// With keeps the prefix on loggers with added fields.
func (c *prefixCore) With(fields []zapcore.Field) zapcore.Core {
	return &prefixCore{Core: c.Core.With(fields), prefix: c.prefix}
}

// Check makes the entry go through Write of this core, not of the inner one.
func (c *prefixCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write writes the entry with the prefix.
func (c *prefixCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	e.Message = c.prefix + e.Message
	return c.Core.Write(e, fields)
}
