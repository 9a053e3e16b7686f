package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/platform/platformtest"
)

// Guards against a node that outlasts its grace time because nobody reads its log.
func TestStopDespiteStalledLog(t *testing.T) {
	const grace = 4 * time.Second
	is := is.New(t)
	unread, log, err := os.Pipe()
	is.NoErr(err)
	defer unread.Close()
	defer log.Close()
	is.NoErr(log.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)))
	_, err = log.Write(make([]byte, 4<<20))
	is.True(err != nil) // the pipe is full
	ready := platformtest.FreeAddress(t)
	file := filepath.Join(t.TempDir(), "mesh.toml")
	settings := fmt.Sprintf("node = \"n\"\nservice = \"orders\"\ndata_centre = \"dc\"\ncaller_address = %q\nready_address = %q\ncontrol_address = %q\n"+
		"peer_address = %q\npeer_advertised = \"127.0.0.1:1\"\nbackend_address = \"127.0.0.1:1\"\nstore_address = %q\nmemory_mb = 128\nheartbeat = \"500ms\"\ngrace = %q\n"+
		"retry_ratio = 0.2\nretry_slack = 20\nretry_window = \"10s\"\n",
		platformtest.FreeAddress(t), ready, platformtest.FreeAddress(t), platformtest.FreeAddress(t), platformtest.NewStore(t).Address, grace)
	is.NoErr(os.WriteFile(file, []byte(settings), 0o600))
	cmd := exec.Command("toucanhaven", "mesh", "--settings", file)
	cmd.Stdout = log
	is.NoErr(cmd.Start())
	time.Sleep(time.Second)
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		is.NoErr(err)
	case <-time.After(grace):
		cmd.Process.Kill()
		t.Errorf("the process runs %v after SIGTERM", grace)
	}
}
