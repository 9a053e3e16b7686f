package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"toucanhaven/toucanlog"
	"toucanhaven/toucannode"
	"toucanhaven/toucansettings"
)

// nodeCommand runs the node until SIGTERM or SIGINT stops it.
func nodeCommand() command {
	var settingsFile, addressesFile string
	flags := newCommand("node", "run the node beside a backend server", "node --settings node.toml")
	flags.String(&settingsFile, "s", "settings", "file with the settings of the node (TOML)")
	flags.String(&addressesFile, "a", "addresses", "file to which the node writes the addresses it listens on (JSON)")
	return command{flags: flags, run: func() int {
		if settingsFile == "" {
			fmt.Fprintln(os.Stderr, "toucanhaven node: --settings FILE is required")
			return exitUsage
		}
		settings, err := toucansettings.Load(settingsFile)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
		options := toucannode.Options{Settings: settings, Logger: toucanlog.NewLogger(os.Stderr, settings.LogLevel)}
		if err := runNode(options, addressesFile); err != nil {
			fmt.Fprintln(os.Stderr, "toucanhaven node:", err)
			return exitFailure
		}
		return exitOK
	}}
}

// The live heap of a node is a few MB. With the default GC percentage of 100, the
// garbage collector would run dozens of times a second at a few thousand calls a
// second and delay calls. The memory limit keeps the process below the 256 MB that
// a node may use.
const (
	gcPercent        = 400
	memoryLimitBytes = 192 << 20
)

func runNode(options toucannode.Options, addressesFile string) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	n, err := toucannode.New(options)
	if err != nil {
		return err
	}
	n.Start()
	if addressesFile != "" {
		if err := writeAddresses(addressesFile, n.Addresses()); err != nil {
			return err
		}
	}
	<-signals
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(context.Background()) }()
	select {
	case err := <-stopped:
		return err
	case s := <-signals:
		return fmt.Errorf("ended at once by a second signal: %v", s)
	}
}

// writeAddresses replaces the file atomically, so a reader never sees a partial
// file.
func writeAddresses(file string, a toucannode.Addresses) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write addresses: %w", err)
		}
	}()
	text, err := json.Marshal(a)
	if err != nil {
		return err
	}
	temporary := file + ".part"
	if err := os.WriteFile(temporary, append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, file)
}
