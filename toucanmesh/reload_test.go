package toucanmesh_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/platform/platformtest"
	"toucanhaven/toucanmesh"
)

// reloadCases has a case for each field of the settings file.
var reloadCases = []struct {
	field, value string
	applied      bool // by a reload; other fields need a restart
}{
	{"node", `"b"`, false},
	{"service", `"stock"`, true},
	{"data_centre", `"other"`, true},
	{"caller_address", `"127.0.0.1:1"`, false},
	{"ready_address", `"127.0.0.1:1"`, false},
	{"control_address", `"127.0.0.1:1"`, false},
	{"peer_address", `"127.0.0.1:1"`, false},
	{"peer_advertised", `"127.0.0.1:1"`, false},
	{"metrics_address", `"127.0.0.1:1"`, false},
	{"backend_address", `"127.0.0.1:1"`, true},
	{"store_address", `"127.0.0.1:1"`, false},
	{"memory_mb", "16", false},
	{"max_descriptors", "500", false},
	{"heartbeat", `"1ns"`, true},
	{"grace", `"1ns"`, true},
	{"config_delay", `"1ns"`, false},
	{"retry_ratio", "0.0", false},
	{"retry_slack", "0.0", false},
	{"retry_window", `"1ns"`, false},
	{"log_level", `"ERROR"`, false},
}

// A running node must not take a name or an address from its file that it does not have.
func TestReloadKeepsIdentityOfRunningNode(t *testing.T) {
	for _, tt := range reloadCases {
		t.Run(tt.field, func(t *testing.T) {
			is := is.New(t)
			s := newDeployment(t, safeRoute())
			m := s.newNode("a", "orders")
			m.settingsFile = filepath.Join(t.TempDir(), "mesh.toml")
			m.writeSettings("", "")
			m.run()
			m.sendHeartbeat("ready", http.StatusOK)
			other := s.startNode("c", "orders")
			m.awaitServed("/read/")
			other.awaitServed("/read/")

			m.settings.DataCentre = "other" // so that the member is written again
			m.writeSettings(tt.field, tt.value)
			m.Reload()
			m.Reload()

			awaitCondition(t, "the member is written again", func() bool {
				item, _ := s.store.Item("members/a")
				return strings.Contains(string(item.Value), `"other"`) && strings.Contains(string(item.Value), m.settings.PeerAddress)
			})
			m.awaitServed("/read/")
			other.awaitServed("/read/")
			is.Equal(strings.Count(s.logs.String(), "event=reload "), 1)
			is.Equal(strings.Contains(s.logs.String(), `event="settings need a restart"`), !tt.applied)
			is.Equal(strings.Contains(s.logs.String(), "fields="+tt.field), !tt.applied)
		})
	}
}

// A change between the start and the first check of the file must not be missed.
func TestChangeOfSettingsRightAfterStartTakesEffect(t *testing.T) {
	s := newDeployment(t, safeRoute())
	m := s.newNode("a", "orders")
	m.settingsFile = filepath.Join(t.TempDir(), "mesh.toml")
	m.writeSettings("", "")
	m.run()
	m.writeSettings("data_centre", `"other"`)
	awaitCondition(t, "the member is written again", func() bool {
		item, _ := s.store.Item("members/a")
		return strings.Contains(string(item.Value), `"other"`)
	})
}

func TestReloadTakesAnotherBackendServer(t *testing.T) {
	is := is.New(t)
	stock := platformtest.Route{Name: "stock", Prefix: "/stock/", Type: "safe", Services: map[string]int{"stock": 1}, TimeoutS: 2, TargetS: 0.5}
	s := newDeployment(t, safeRoute(), stock)
	m := s.newNode("a", "orders")
	m.settingsFile = filepath.Join(t.TempDir(), "mesh.toml")
	m.writeSettings("", "")
	m.run()
	m.sendHeartbeat("ready", http.StatusOK)
	m.awaitServed("/read/")

	m.backend = platformtest.NewBackend(t, "stock", "i-b", "")
	m.settings.Service, m.settings.BackendAddress = "stock", m.backend.Address
	m.writeSettings("", "")
	m.sendHeartbeat("ready", http.StatusOK) // the node reads the file when the server is not the one it knows

	m.awaitServed("/stock/")
	is.Equal(m.backend.LastRequest().Header.Get("X-Caller-Service"), "stock")
	is.Equal(m.send("GET", "/read/1", "r1").status, http.StatusServiceUnavailable)
}

// A field without a case may be one that a reload must not change.
func TestReloadCasesCoverAllSettings(t *testing.T) {
	is := is.New(t)
	var fields, covered []string
	for _, f := range reflect.VisibleFields(reflect.TypeFor[toucanmesh.Settings]()) {
		fields = append(fields, f.Tag.Get("toml"))
	}
	for _, tt := range reloadCases {
		covered = append(covered, tt.field)
	}
	is.Equal(covered, fields)
}

// writeSettings writes the settings file of the node, with another value of one field.
func (m *testNode) writeSettings(field, value string) {
	m.deployment.t.Helper()
	s := m.settings
	var b strings.Builder
	for _, f := range []struct{ name, value string }{
		{"node", s.Node}, {"service", s.Service}, {"data_centre", s.DataCentre}, {"caller_address", s.CallerAddress},
		{"ready_address", s.ReadyAddress}, {"control_address", s.ControlAddress}, {"peer_address", s.PeerAddress},
		{"metrics_address", s.MetricsAddress}, {"backend_address", s.BackendAddress},
		{"store_address", s.StoreAddress}, {"heartbeat", s.Heartbeat.String()}, {"grace", s.Grace.String()},
		{"config_delay", s.ConfigDelay.String()}, {"retry_window", s.RetryWindow.String()}, {"log_level", s.LogLevel.String()},
	} {
		if f.name != field {
			fmt.Fprintf(&b, "%s = %q\n", f.name, f.value)
		}
	}
	for _, f := range []struct{ name, value string }{
		{"memory_mb", fmt.Sprint(s.MemoryMB)}, {"retry_ratio", fmt.Sprint(s.RetryRatio)}, {"retry_slack", fmt.Sprintf("%.1f", s.RetrySlack)},
	} {
		if f.name != field {
			fmt.Fprintf(&b, "%s = %s\n", f.name, f.value)
		}
	}
	if field != "" {
		fmt.Fprintf(&b, "%s = %s\n", field, value)
	}
	if err := os.WriteFile(m.settingsFile, []byte(b.String()), 0o600); err != nil {
		m.deployment.t.Fatal(err)
	}
}
