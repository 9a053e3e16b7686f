// Package toucanclass defines classes of requests, class files and ranks.
package toucanclass

import (
	"strings"
	"time"
)

// Class is a kind of request to one service, with the targets that an operator set.
// It is immutable; the With methods return changed copies.
type Class struct {
	Name       string
	Method     string        // HTTP method; empty matches every method
	Path       string        // prefix of whole path segments; empty matches every path
	Latency    time.Duration // latency target
	Success    float64       // target share of successful requests, between 0 and 1
	AtMostOnce bool
}

// Default is the class of requests that no class of the called service matches.
// Its loose targets rank it after every class with a success target above 0.5.
var Default = Class{Name: "default", Latency: 10 * time.Second, Success: 0.5}

// Rank returns the rank that RankOf derives from the targets of the class.
func (c Class) Rank() Rank { return RankOf(c.Latency, c.Success) }

// WithTargets returns the class with other targets.
func (c Class) WithTargets(latency time.Duration, success float64) Class {
	c.Latency, c.Success = latency, success
	return c
}

// matches reports whether a request belongs to the class.
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

// Match returns the class of a request: the matching class with the longest path,
// and among classes with equally long paths one with a method. It returns Default if
// no class matches.
func (f File) Match(method, path string) Class {
	best, found := Default, false
	for _, class := range f.Classes {
		if class.matches(method, path) && (!found || class.moreSpecificThan(best)) {
			best, found = class, true
		}
	}
	return best
}

func (c Class) moreSpecificThan(other Class) bool {
	if len(c.Path) != len(other.Path) {
		return len(c.Path) > len(other.Path)
	}
	return c.Method != "" && other.Method == ""
}
