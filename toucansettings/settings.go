// Package toucansettings reads the settings of a node and checks them in full.
package toucansettings

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"time"

	"github.com/BurntSushi/toml"
)

// Settings are the settings of one node.
type Settings struct {
	CallerAddress  netip.AddrPort // callers and the backend server's own calls
	PeerAddress    netip.AddrPort // calls from other nodes
	ControlAddress netip.AddrPort // control messages; also the id of the node
	AdminAddress   netip.AddrPort // loopback only
	DataCentre     string
	Region         string
	KVAddress      netip.AddrPort
	Limits         Limits
	StopTimeout    time.Duration
	Pprof          bool
	LogLevel       slog.Level
}

// Limits bound what one sender can take from a node.
type Limits struct {
	MaxBodyBytes    int64
	MaxHeaderBytes  int
	HeaderTimeout   time.Duration // for a whole request header
	BodyIdleTimeout time.Duration // between two reads of a request body
}

// DefaultLimits apply where the settings state none.
var DefaultLimits = Limits{
	MaxBodyBytes:    8 << 20,
	MaxHeaderBytes:  32 << 10,
	HeaderTimeout:   5 * time.Second,
	BodyIdleTimeout: 10 * time.Second,
}

// DefaultStopTimeout bounds a planned stop where the settings state nothing.
const DefaultStopTimeout = 30 * time.Second

// Problem is one fault of a settings file.
type Problem struct {
	File string
	Line int // 0 for a fault of the whole file
	Text string
}

// Error returns one line with file, line and what is allowed.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return p.File + ": " + p.Text
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
}

// Load reads and checks the file at path. The error joins every Problem found,
// one line each.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, string(text))
}

// Parse checks the text of a settings file; name stands for the file in errors.
func Parse(name, text string) (Settings, error) {
	table := map[string]any{}
	if _, err := toml.Decode(text, &table); err != nil {
		return Settings{}, syntaxProblem(name, err)
	}
	s := Settings{Limits: DefaultLimits, StopTimeout: DefaultStopTimeout}
	c := &checker{file: name, lines: keyLines(text)}
	c.fields(table, "", append(topFields(&s), field{name: "limits", set: c.limits(&s.Limits)}))
	c.addresses(s)
	if len(c.problems) > 0 {
		return Settings{}, errors.Join(c.problems...)
	}
	return s, nil
}

func syntaxProblem(name string, err error) error {
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		return &Problem{File: name, Text: err.Error()}
	}
	text := parse.Message
	if text == "" {
		text = parse.Error()
	}
	return &Problem{File: name, Line: parse.Position.Line, Text: text}
}
