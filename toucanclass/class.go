// Package toucanclass holds classes of requests, their files and their ranks.
package toucanclass

import (
	"strings"
	"time"
)

// Class is a kind of request of one service, with the targets an operator set.
// It is immutable; the With methods return changed copies.
type Class struct {
	Name       string
	Method     string // HTTP method; empty matches every method
	Path       string // prefix on whole path segments; empty matches every path
	Latency    time.Duration
	Success    float64 // share between 0 and 1
	AtMostOnce bool
}

// Default is the class of requests that no class of the called service matches.
// Its loose targets rank it behind every class that an operator wrote.
var Default = Class{Name: "default", Latency: 10 * time.Second, Success: 0.5}

// Rank returns the rank that follows from the targets of the class.
func (c Class) Rank() Rank { return RankOf(c.Latency, c.Success) }

// WithTargets returns the class with other targets.
func (c Class) WithTargets(latency time.Duration, success float64) Class {
	c.Latency, c.Success = latency, success
	return c
}

// matches reports whether the class covers a request.
func (c Class) matches(method, path string) bool {
	if c.Method != "" && c.Method != method {
		return false
	}
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(c.Path, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// File holds the classes of one service. It is immutable.
type File struct {
	Service string
	Classes []Class
}

// WithClasses returns the file with other classes.
func (f File) WithClasses(classes ...Class) File {
	f.Classes = append([]Class(nil), classes...)
	return f
}

// Match returns the class of a request: the matching class with the longest
// path, and of two with the same path the one that names the method. A request
// that nothing matches gets Default.
func (f File) Match(method, path string) Class {
	best, found := Default, false
	for _, class := range f.Classes {
		if class.matches(method, path) && (!found || class.moreSpecific(best)) {
			best, found = class, true
		}
	}
	return best
}

func (c Class) moreSpecific(other Class) bool {
	if len(c.Path) != len(other.Path) {
		return len(c.Path) > len(other.Path)
	}
	return c.Method != "" && other.Method == ""
}
