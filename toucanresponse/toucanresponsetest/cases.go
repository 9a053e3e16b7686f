// Package toucanresponsetest has HTTP/1 responses for the tests of everything that reads
// responses: broken ones, which no reader may accept, and sound ones, which each must.
package toucanresponsetest

import (
	_ "embed"
	"fmt"
	"strconv"
	"strings"
)

var (
	//go:embed testdata/broken.txt
	brokenText string
	//go:embed testdata/sound.txt
	soundText string
)

// Case is a response with places for what a reader expects of its peer.
type Case struct {
	Name     string
	template string
}

// Broken returns responses with one violation of the grammar each. The connection ends
// behind them.
func Broken() []Case { return parseCases(brokenText) }

// Sound returns responses in all forms that the grammar allows.
func Sound() []Case { return parseCases(soundText) }

// parseCases reads lines of a name and a quoted template.
func parseCases(text string) (cases []Case) {
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		if line == "" || line[0] == '#' {
			continue
		}
		name, quoted, _ := strings.Cut(line, " ")
		template, err := strconv.Unquote(quoted)
		if err != nil {
			panic(fmt.Sprintf("case %s: %v", name, err))
		}
		cases = append(cases, Case{Name: name, template: template})
	}
	return cases
}

// Response returns the response with a status code and reason, unless OwnStatus, with header
// fields that include their line ends, and a body. The body has at most 9 bytes, because its
// length is also written as a chunk size, which is hexadecimal.
func (c Case) Response(status, fields, body string) string {
	return strings.NewReplacer("{status}", status, "{fields}", fields, "{length}", strconv.Itoa(len(body)), "{body}", body).Replace(c.template)
}

// InBody reports whether the violation is behind the header, where a reader may have passed on
// a part of the response.
func (c Case) InBody() bool { return strings.HasPrefix(c.Name, "body_") }

// OwnStatus reports whether the case is about the status line, whose status Response then does
// not set. A reader that expects a status of its own leaves such sound cases out.
func (c Case) OwnStatus() bool { return !strings.Contains(c.template, "{status}") }
