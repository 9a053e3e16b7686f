package toucanlog_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanlog"
)

// Guards against logging that blocks while the output is stalled. The output is a pipe
// that nobody reads; lines must be dropped instead.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	is := is.New(t)
	r, stalledOut := io.Pipe()
	defer r.Close()
	w := toucanlog.NewWriter(stalledOut)
	stop := make(chan struct{})
	defer close(stop)
	go w.Run(stop)
	log := toucanlog.NewLogger(w, slog.LevelInfo)
	start := time.Now()
	for range 20_000 {
		log.Info("run", "request", "9c41d07be2a35f68", "outcome", "answered")
	}
	is.True(time.Since(start) < 5*time.Second)
	is.True(w.Dropped() > 0)
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *lockedBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *lockedBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func TestLinesArriveInOrder(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	w := toucanlog.NewWriter(&out)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { w.Run(stop); close(done) }()
	log := toucanlog.NewLogger(w, slog.LevelInfo)
	for i := range 100 {
		log.Info("line", "n", i)
	}
	close(stop)
	<-done
	is.Equal(strings.Count(out.String(), "\n"), 100)
	is.True(strings.Index(out.String(), "n=7\n") < strings.Index(out.String(), "n=70\n"))
	is.Equal(w.Dropped(), uint64(0))
}
