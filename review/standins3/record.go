package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line for each event.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	start time.Time
}

func newRecord(w io.Writer) *record { return &record{w: w, start: time.Now()} }

// line writes an event with pairs of a key and a value.
func (r *record) line(event string, pairs ...any) {
	var b strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%7.3f %s%s\n", time.Since(r.start).Seconds(), event, b.String())
}

// at returns a time as seconds since the start of the record.
func (r *record) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds())
}
