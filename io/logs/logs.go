package logs

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"toucanway/core/pause"
)

const (
	// queueLines bounds the lines that wait for the writer.
	queueLines = 1024
	// sampleTick, sampleFirst and sampleThereafter bound lines of one message: in each tick the first ones are written, and
	// then one in so many.
	sampleTick       = time.Second
	sampleFirst      = 100
	sampleThereafter = 50
	// flushInterval gathers lines so that a write carries several.
	flushInterval = 50 * time.Millisecond
	// maxWrite bounds the bytes of one write.
	maxWrite = 64 << 10
)

// Writer hands lines to one goroutine; it implements zapcore.WriteSyncer.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewWriter returns a writer to out; Run has to be called.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out, lines: make(chan []byte, queueLines)} }

// Write queues a line or drops it if the queue is full; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, since the writer's goroutine writes everything by itself.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines that found the queue full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then those that wait.
func (w *Writer) Run(ctx context.Context) error {
	var buf []byte
	for {
		select {
		case line := <-w.lines:
			buf = append(buf[:0], line...)
		case <-ctx.Done():
			return w.finish()
		}
		// At the end the lines that wait are written at once.
		_ = pause.For(ctx, flushInterval)
		if err := w.write(w.gather(buf)); err != nil {
			return err
		}
	}
}

// gather appends the lines that wait.
func (w *Writer) gather(buf []byte) []byte {
	for len(buf) < maxWrite {
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

func (w *Writer) finish() error {
	for {
		buf := w.gather(nil)
		if len(buf) == 0 {
			return nil
		}
		if err := w.write(buf); err != nil {
			return err
		}
	}
}

func (w *Writer) write(b []byte) error {
	_, err := w.out.Write(b)
	return err
}

// New returns a logger of JSON lines to w for a host. Lines of one message are sampled above a bound.
func New(w zapcore.WriteSyncer, level zapcore.Level, host string) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.MessageKey, cfg.NameKey = "time", "message", "subsystem"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, level)
	core = zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleThereafter)
	return zap.New(core).With(zap.String("host", host))
}
