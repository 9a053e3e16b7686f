// Package toucansettings reads and checks the settings file of a node.
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
	CallerAddress  netip.AddrPort // listener for callers, and for calls that the backend server makes
	PeerAddress    netip.AddrPort // listener for calls from other nodes
	ControlAddress netip.AddrPort // listener for control messages; also the id of the node
	AdminAddress   netip.AddrPort // listener for administration; a loopback address
	DataCentre     string
	Region         string
	KVAddress      netip.AddrPort
	MemoryMB       int // memory of the process, from which the limits on connections follow
	Limits         Limits
	StopTimeout    time.Duration
	Pprof          bool
	LogLevel       slog.Level
}

// Limits bound the resources of a node that one sender can use.
type Limits struct {
	MaxBodyBytes    int64
	MaxHeaderBytes  int
	HeaderTimeout   time.Duration // for a whole request header
	BodyIdleTimeout time.Duration // between two reads of a request body
}

// DefaultLimits are the limits that apply where the settings file has none.
var DefaultLimits = Limits{
	MaxBodyBytes:    8 << 20,
	MaxHeaderBytes:  32 << 10,
	HeaderTimeout:   5 * time.Second,
	BodyIdleTimeout: 10 * time.Second,
}

// DefaultMemoryMB is the memory of the process if the settings file has no memory_mb.
const DefaultMemoryMB = 256

// DefaultStopTimeout is the time allowed for a graceful shutdown if the settings file
// has no stop_timeout.
const DefaultStopTimeout = 30 * time.Second

// Problem is one error in a settings file.
type Problem struct {
	File string
	Line int // 0 if the error is not in one particular line
	Text string
}

// Error returns one line of text with the file, the line and what is allowed.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return p.File + ": " + p.Text
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
}

// Load reads and checks the settings file at path. If the settings are bad, the error
// joins all Problems, one line each.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, string(text))
}

// Parse parses and checks the text of a settings file. The name is the file name in
// errors.
func Parse(name, text string) (Settings, error) {
	table := map[string]any{}
	if _, err := toml.Decode(text, &table); err != nil {
		return Settings{}, syntaxProblem(name, err)
	}
	s := Settings{MemoryMB: DefaultMemoryMB, Limits: DefaultLimits, StopTimeout: DefaultStopTimeout}
	c := &checker{file: name, lines: keyLines(text)}
	c.checkTable(table, "", append(topFields(&s), field{name: "limits", set: c.setLimits(&s.Limits)}))
	c.checkAddresses(s)
	if len(c.problems) > 0 {
		return Settings{}, errors.Join(c.problems...)
	}
	return s, nil
}

func syntaxProblem(name string, err error) error {
	var parseErr toml.ParseError
	if !errors.As(err, &parseErr) {
		return &Problem{File: name, Text: err.Error()}
	}
	text := parseErr.Message
	if text == "" {
		text = parseErr.Error()
	}
	return &Problem{File: name, Line: parseErr.Position.Line, Text: text}
}
