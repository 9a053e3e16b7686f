package main

import (
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A reload that does not end must not delay the stop.
func TestStopDuringReloadThatHangs(t *testing.T) {
	is := is.New(t)
	s := newEmptyDeployment(t, 1)
	n := s.newNode("n0", "orders")
	for end := time.Now().Add(soakServingTimeout); ; time.Sleep(20 * time.Millisecond) {
		if status, err := n.backend.SendHeartbeat(n.control, "ready"); err == nil && status == http.StatusOK {
			break
		}
		is.True(time.Now().Before(end))
	}
	file := filepath.Join(n.dir, "mesh.toml")
	is.NoErr(os.Remove(file))
	is.NoErr(syscall.Mkfifo(file, 0o600)) // a read waits for a writer
	is.NoErr(n.cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	n.endProcess(t, syscall.SIGTERM) // reports a process that goes on for too long
}
