package toucanmesh_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/toucanmesh"
)

const goodSettings = `node = "a"
service = "orders"
data_centre = "dc"
caller_address = "127.0.0.1:1"
ready_address = "127.0.0.1:2"
control_address = "127.0.0.1:3"
peer_address = "127.0.0.1:4"
backend_address = "127.0.0.1:5"
store_address = "127.0.0.1:6"
memory_mb = 284
heartbeat = "1.5s"
grace = "6s"
retry_ratio = 0.2
retry_slack = 49
retry_window = "10s"
unknown_field = "ignored"
`

func TestLoadSettings(t *testing.T) {
	for _, tt := range []struct{ name, old, new, want string }{
		{"good", "", "", ""},
		{"no_toml", "node =", "node", "expected"},
		{"no_node", `"a"`, `""`, "node is missing"},
		{"bad_address", `"127.0.0.1:4"`, `"here"`, `peer_address "here" is not HOST:PORT`},
		{"bad_time", `"6s"`, `"six"`, "invalid duration"},
		{"no_heartbeat", `"1.5s"`, `"0s"`, "heartbeat is 0s, want more than 0"},
		{"few_descriptors", "memory_mb = 284", "memory_mb = 284\nmax_descriptors = 4", "max_descriptors is 4, want at least 16"},
		{"little_memory", "284", "4", "memory_mb is 4, want at least 16"},
		{"negative", "0.2", "-1", "must not be negative"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "mesh.toml")
			is.NoErr(os.WriteFile(file, []byte(strings.Replace(goodSettings, tt.old, tt.new, 1)), 0o600))
			s, err := toucanmesh.LoadSettings(file)
			if tt.want == "" {
				is.NoErr(err)
				is.Equal(s.RetrySlack, 49.0)
				return
			}
			is.True(err != nil)
			if !strings.Contains(err.Error(), tt.want) || !strings.Contains(err.Error(), file) {
				t.Fatalf("error %q names neither the file nor %q", err, tt.want)
			}
		})
	}
}

// In the order of the template the last field is required, so that no part of the file passes
// for the whole.
func TestHalfWrittenSettingsAreRefused(t *testing.T) {
	is := is.New(t)
	template, err := os.ReadFile("../deploy/settings.toml")
	is.NoErr(err)
	text := strings.ReplaceAll(string(template), "{{ip}}", "127.0.0.1")
	text = regexp.MustCompile(`{{[^}]*\|json}}`).ReplaceAllString(text, `"127.0.0.1:1"`)
	text = strings.TrimSpace(regexp.MustCompile(`{{[^}]*}}`).ReplaceAllString(text, "20"))
	file := filepath.Join(t.TempDir(), "mesh.toml")
	for size := range len(text) + 1 {
		is.NoErr(os.WriteFile(file, []byte(text[:size]), 0o600))
		_, err := toucanmesh.LoadSettings(file)
		if whole := size == len(text); (err == nil) != whole {
			t.Fatalf("%d of %d bytes: error %v", size, len(text), err)
		}
	}
}
