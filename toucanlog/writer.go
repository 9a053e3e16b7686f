// Package toucanlog provides a log writer that never blocks its callers.
package toucanlog

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the lines that wait to be written to the output.
	bufferBytes = 256 << 10
	// flushInterval is the time between two writes to the output. A buffer that is more
	// than half full is written earlier.
	flushInterval = 100 * time.Millisecond
)

// Writer is an io.Writer that buffers lines and writes them to its output in batches.
// A line that does not fit into the buffer is dropped and counted.
type Writer struct {
	out       io.Writer
	dropped   atomic.Uint64
	flushSoon chan struct{} // wakes Run before the next tick

	mu       sync.Mutex
	pending  []byte
	spareBuf []byte     // the buffer that becomes pending at the next flush
	outMu    sync.Mutex // held while the output is written
}

// NewWriter returns a Writer with the output out. Lines are only written while Run is
// running, or by Flush.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out, flushSoon: make(chan struct{}, 1)} }

// NewLogger returns a logger that writes one line of key=value pairs for each event. The
// message has the key event.
func NewLogger(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(&handler{out: w, level: level})
}

// Write adds one line to the buffer, or drops it if the buffer is full. It always returns
// len(p) and a nil error, and never waits for the output.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(p) > bufferBytes {
		w.dropped.Add(1)
	} else {
		w.pending = append(w.pending, p...)
	}
	overHalf := len(w.pending) > bufferBytes/2
	w.mu.Unlock()
	if overHalf {
		select {
		case w.flushSoon <- struct{}{}:
		default:
		}
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines since NewWriter.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run flushes the buffer every flushInterval, or earlier if it is more than half full,
// until stop is closed. Then it flushes once more and returns. Before a flush it adds a
// line with the number of lines dropped since the last such line.
func (w *Writer) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case <-ticker.C:
		case <-w.flushSoon:
		case <-stop:
			w.Flush()
			return
		}
		if dropped := w.Dropped(); dropped != reported {
			fmt.Fprintf(w, "level=WARN event=\"log lines dropped\" dropped=%d total=%d\n", dropped-reported, dropped)
			reported = dropped
		}
		w.Flush()
	}
}

// Flush writes the buffered lines to the output. Output errors are ignored, because there
// is no other place to report them.
func (w *Writer) Flush() {
	w.outMu.Lock()
	defer w.outMu.Unlock()
	w.mu.Lock()
	lines := w.pending
	w.pending, w.spareBuf = w.spareBuf[:0], nil
	w.mu.Unlock()
	if len(lines) > 0 {
		w.out.Write(lines)
	}
	w.mu.Lock()
	w.spareBuf = lines[:0]
	w.mu.Unlock()
}

// FlushWithin is like Flush, but gives up after d. The output may be a pipe that nobody
// reads.
func (w *Writer) FlushWithin(d time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Flush()
	}()
	select {
	case <-done:
	case <-time.After(d):
	}
}
