package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// at returns the time since the case began in seconds.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.began).Seconds()) }

// printf writes one line with the time since the case began.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}
