package settings

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Level returns the log level of a subsystem: its own, or else that of LogDefault, or else info.
func (s *Settings) Level(sub Subsystem) zapcore.Level {
	level := zapcore.InfoLevel
	for _, l := range s.Logs {
		if l.Subsystem == sub {
			return l.Level
		}
		if l.Subsystem == LogDefault {
			level = l.Level
		}
	}
	return level
}

// Loggers creates JSON loggers with the log level of each subsystem.
type Loggers struct {
	settings *Settings
	out      zapcore.WriteSyncer
	encoder  zapcore.Encoder
}

// NewLoggers returns loggers that write to w, one line at a time.
func NewLoggers(s *Settings, w io.Writer) *Loggers {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.MessageKey, cfg.NameKey = "time", "message", "subsystem"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return &Loggers{settings: s, out: zapcore.Lock(zapcore.AddSync(w)), encoder: zapcore.NewJSONEncoder(cfg)}
}

// Logger returns the logger of a subsystem.
func (l *Loggers) Logger(sub Subsystem) *zap.Logger {
	core := zapcore.NewCore(l.encoder, l.out, l.settings.Level(sub))
	return zap.New(core).Named(string(sub)).With(zap.String("host", string(l.settings.ID)))
}
