package toucansettings

import (
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
)

// Guards against bad settings that are accepted, and against an error without a line
// or with the wrong one, which misleads the operator. testdata/bad.txtar holds pairs of
// a settings file and its errors.
func TestBadSettings(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/bad.txtar")
	if err != nil {
		t.Fatal(err)
	}
	if len(archive.Files)%2 != 0 {
		t.Fatal("testdata/bad.txtar: want pairs of a settings file and its errors")
	}
	for i := 0; i < len(archive.Files); i += 2 {
		in, want := archive.Files[i], archive.Files[i+1]
		t.Run(strings.TrimSuffix(in.Name, ".toml"), func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(in.Name, string(in.Data))
			is.True(err != nil)
			is.Equal(err.Error()+"\n", string(want.Data))
		})
	}
}

func TestGoodSettings(t *testing.T) {
	is := is.New(t)
	s, err := Load("testdata/good.toml")
	is.NoErr(err)
	is.Equal(s.ControlAddress.String(), "10.1.0.7:7402")
	is.Equal(s.DataCentre, "mi-1")
	is.Equal(s.StopTimeout, 45*time.Second)
	is.Equal(s.LogLevel, slog.LevelWarn)
	is.True(s.Pprof)
	is.Equal(s.Limits, Limits{
		MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16384, HeaderTimeout: 2 * time.Second, BodyIdleTimeout: 3 * time.Second,
	})
}

// Optional settings that are missing must get the documented defaults.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("testdata/good.toml")
	is.NoErr(err)
	required, _, _ := strings.Cut(string(text), "# optional\n")
	s, err := Parse("good.toml", required)
	is.NoErr(err)
	is.Equal(s.StopTimeout, 30*time.Second)
	is.Equal(s.LogLevel, slog.LevelInfo)
	is.True(!s.Pprof)
	is.Equal(s.Limits, DefaultLimits)
}

// Parse must return valid settings or an error for any text, and must not panic.
func FuzzParse(f *testing.F) {
	archive, err := txtar.ParseFile("testdata/bad.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range archive.Files {
		f.Add(string(file.Data))
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("f.toml", text)
		if err == nil && (!s.AdminAddress.Addr().IsLoopback() || s.StopTimeout <= 0) {
			t.Errorf("accepted bad settings: %+v", s)
		}
	})
}
