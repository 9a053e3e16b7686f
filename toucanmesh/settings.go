// Package toucanmesh implements the node of a platform deployment: the daemon
// beside a backend server.
//
// The node serves the routes of a versioned configuration. It keeps its
// membership and the departures of its backend server in a key-value store.
package toucanmesh

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"reflect"
	"time"

	"github.com/BurntSushi/toml"
)

// Settings are the settings of one node.
type Settings struct {
	Node           string `toml:"node"`    // unique name of the VM
	Service        string `toml:"service"` // service of the backend server on the VM
	DataCentre     string `toml:"data_centre"`
	CallerAddress  string `toml:"caller_address"`  // requests of callers and of the backend server
	ReadyAddress   string `toml:"ready_address"`   // readiness checks
	ControlAddress string `toml:"control_address"` // heartbeats of the backend server
	PeerAddress    string `toml:"peer_address"`    // other nodes
	PeerAdvertised string `toml:"peer_advertised"` // address at which other nodes reach PeerAddress; defaults to PeerAddress
	MetricsAddress string `toml:"metrics_address"` // empty for none
	BackendAddress string `toml:"backend_address"`
	StoreAddress   string `toml:"store_address"`
	MemoryMB       int    `toml:"memory_mb"` // memory limit of the process
	// MaxDescriptors is the number of descriptors that the process may use; 0 means what the
	// system allows.
	MaxDescriptors int `toml:"max_descriptors"`
	// Heartbeat is the interval between heartbeats of the backend server.
	Heartbeat duration `toml:"heartbeat"`
	// Grace is the time between SIGTERM and the end of the process.
	Grace duration `toml:"grace"`
	// ConfigDelay is the time after which a new configuration must be in force.
	ConfigDelay duration `toml:"config_delay"`
	// RetryRatio, RetrySlack and RetryWindow limit the retries of all nodes
	// together: within a window, to the ratio of the requests plus the slack.
	RetryRatio  float64    `toml:"retry_ratio"`
	RetrySlack  float64    `toml:"retry_slack"`
	RetryWindow duration   `toml:"retry_window"`
	LogLevel    slog.Level `toml:"log_level"`
}

// withReload returns the settings of a running node after its settings file has changed
// to next. The other fields identify the node, or are used only at its start.
func (s Settings) withReload(next Settings) Settings {
	s.Service, s.DataCentre, s.BackendAddress = next.Service, next.DataCentre, next.BackendAddress
	s.Heartbeat, s.Grace = next.Heartbeat, next.Grace
	return s
}

// differingFields returns the names of the fields that differ between s and other.
func (s Settings) differingFields(other Settings) (names []string) {
	a, b := reflect.ValueOf(s), reflect.ValueOf(other)
	for i := range a.NumField() {
		if !a.Field(i).Equal(b.Field(i)) {
			names = append(names, a.Type().Field(i).Tag.Get("toml"))
		}
	}
	return names
}

// minDescriptors is the least number of descriptors that may be set.
const minDescriptors = 16

// defaultConfigDelay is the ConfigDelay of settings without one.
const defaultConfigDelay = 2 * time.Second

// duration is a time.Duration that is written as a string such as "1.5s".
type duration struct{ time.Duration }

func (d *duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// LoadSettings reads and checks a settings file. Unknown fields are ignored.
func LoadSettings(file string) (s Settings, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("settings %s: %w", file, err)
		}
	}()
	data, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	if _, err := toml.Decode(string(data), &s); err != nil {
		return s, err
	}
	if s.PeerAdvertised == "" {
		s.PeerAdvertised = s.PeerAddress
	}
	if s.ConfigDelay.Duration == 0 {
		s.ConfigDelay.Duration = defaultConfigDelay
	}
	return s, s.check()
}

func (s Settings) check() error {
	for _, f := range []struct{ name, value string }{
		{"node", s.Node}, {"service", s.Service}, {"data_centre", s.DataCentre},
	} {
		if f.value == "" {
			return fmt.Errorf("%s is missing", f.name)
		}
	}
	for _, f := range []struct{ name, value string }{
		{"caller_address", s.CallerAddress}, {"ready_address", s.ReadyAddress}, {"control_address", s.ControlAddress},
		{"peer_address", s.PeerAddress}, {"peer_advertised", s.PeerAdvertised}, {"backend_address", s.BackendAddress}, {"store_address", s.StoreAddress},
	} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return fmt.Errorf("%s %q is not HOST:PORT", f.name, f.value)
		}
	}
	switch {
	case s.MemoryMB < 16:
		return fmt.Errorf("memory_mb is %d, want at least 16", s.MemoryMB)
	case s.MaxDescriptors != 0 && s.MaxDescriptors < minDescriptors:
		return fmt.Errorf("max_descriptors is %d, want at least %d, or 0 for what the system allows", s.MaxDescriptors, minDescriptors)
	case s.Heartbeat.Duration <= 0:
		return fmt.Errorf("heartbeat is %v, want more than 0", s.Heartbeat)
	case s.Grace.Duration <= 0:
		return fmt.Errorf("grace is %v, want more than 0", s.Grace)
	case s.ConfigDelay.Duration <= 0:
		return fmt.Errorf("config_delay is %v, want more than 0", s.ConfigDelay)
	case s.RetryWindow.Duration <= 0:
		return fmt.Errorf("retry_window is %v, want more than 0", s.RetryWindow)
	case s.RetryRatio < 0 || s.RetrySlack < 0:
		return fmt.Errorf("retry_ratio %v and retry_slack %v must not be negative", s.RetryRatio, s.RetrySlack)
	}
	return nil
}
