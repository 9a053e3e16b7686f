// Package toucanlog writes log lines without ever blocking the caller.
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
	// bufferBytes bounds the lines that wait for the output.
	bufferBytes = 256 << 10
	// flushTime is the time between writes to the output.
	flushTime = 100 * time.Millisecond
)

// Writer collects lines and writes them in one piece every so often. Lines that
// find the buffer full are dropped and counted.
type Writer struct {
	out     io.Writer
	dropped atomic.Uint64
	wake    chan struct{}

	mu    sync.Mutex
	lines []byte
	spare []byte
	busy  sync.Mutex // held while the output is written
}

// NewWriter returns a writer to out. Run must be started.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out, wake: make(chan struct{}, 1)} }

// NewLogger returns a logger that writes one line of key=value pairs per event.
func NewLogger(w io.Writer, level slog.Level) *slog.Logger {
	replace := func(groups []string, a slog.Attr) slog.Attr {
		if a.Key == slog.MessageKey && len(groups) == 0 {
			a.Key = "event"
		}
		return a
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: replace}))
}

// Write takes one line. It never fails and never waits for the output.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	if len(w.lines)+len(p) > bufferBytes {
		w.dropped.Add(1)
	} else {
		w.lines = append(w.lines, p...)
	}
	half := len(w.lines) > bufferBytes/2
	w.mu.Unlock()
	if half {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines to the output until stop is closed.
func (w *Writer) Run(stop <-chan struct{}) {
	t := time.NewTicker(flushTime)
	defer t.Stop()
	reported := uint64(0)
	for {
		select {
		case <-t.C:
		case <-w.wake:
		case <-stop:
			w.Flush()
			return
		}
		if d := w.Dropped(); d != reported {
			fmt.Fprintf(w, "level=WARN event=\"log lines dropped\" dropped=%d total=%d\n", d-reported, d)
			reported = d
		}
		w.Flush()
	}
}

// Flush writes the collected lines. Output errors are ignored, because there is
// no other place to report them.
func (w *Writer) Flush() {
	w.busy.Lock()
	defer w.busy.Unlock()
	w.mu.Lock()
	lines := w.lines
	w.lines, w.spare = w.spare[:0], nil
	w.mu.Unlock()
	if len(lines) > 0 {
		w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}
