package main

import (
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"toucanhaven/platform"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanlog"
	"toucanhaven/toucanmesh"
)

// meshMemoryLimitShare is the soft memory limit of the Go runtime as a share of the
// memory setting of a mesh node. Near this limit the garbage collector runs more
// often.
const meshMemoryLimitShare = 0.6

// finalFlushTimeout limits the time that the end of the process waits for the reader of
// its log.
const finalFlushTimeout = 100 * time.Millisecond

// meshCommand runs the node of a platform deployment until SIGTERM or SIGINT stops
// it. SIGHUP makes the node reload its settings.
func meshCommand() command {
	var settingsFile string
	var check bool
	flags := newCommand("mesh", "run the node beside a backend server of a platform deployment", "mesh --settings mesh.toml")
	flags.String(&settingsFile, "s", "settings", "file with the settings of the node (TOML)")
	flags.Bool(&check, "c", "check", "check the settings and exit")
	return command{flags: flags, run: func() int {
		if settingsFile == "" {
			fmt.Fprintln(os.Stderr, "toucanhaven mesh: --settings FILE is required")
			return exitUsage
		}
		stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
		if !check { // at once, because a SIGHUP that nobody handles ends the process
			signal.Notify(reload, syscall.SIGHUP)
			signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		}
		settings, err := toucanmesh.LoadSettings(settingsFile)
		if err != nil {
			fmt.Fprintln(os.Stderr, "toucanhaven mesh:", err)
			return exitUsage
		}
		if check {
			return exitOK
		}
		if err := runMesh(settingsFile, settings, stop, reload); err != nil {
			fmt.Fprintln(os.Stderr, "toucanhaven mesh:", err)
			return exitFailure
		}
		return exitOK
	}}
}

func runMesh(file string, s toucanmesh.Settings, stop, reload <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(meshMemoryLimitShare * float64(s.MemoryMB<<20)))
	out := toucanlog.NewWriter(os.Stdout)
	stopped := make(chan struct{})
	go out.Run(stopped)
	defer out.FlushWithin(finalFlushTimeout)
	defer close(stopped)
	n, err := toucanmesh.New(toucanmesh.Options{
		Settings: s, SettingsFile: file, Store: platform.NewStore(s.StoreAddress),
		Clock: toucanclock.System{}, Log: toucanlog.NewLogger(out, s.LogLevel), Dropped: out.Dropped,
		Platform: toucanmesh.Platform{
			Headers: platform.Headers(), ConfigKey: platform.ConfigKey, DecodeConfig: platform.DecodeConfig,
			ControlHandler: func(n *toucanmesh.Node, log *slog.Logger) http.Handler { return platform.ControlHandler(n, log) },
			ReadyHandler:   platform.ReadyHandler,
		},
	})
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	go func() { // a read of the settings file that hangs must not delay the stop
		for range reload {
			n.Reload()
		}
	}()
	<-stop
	n.Stop()
	return nil
}
