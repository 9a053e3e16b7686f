// Package toucanconfig manages the class files of services as numbered revisions.
//
// An ApplyState writes a change to the key-value service. A Replicator decides how
// a new revision is distributed to the nodes, and installs it in the node's Store.
package toucanconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"toucanhaven/toucanclass"
	"toucanhaven/toucankv"
)

const (
	// MaxChanges is the maximum number of changes in the history of a document.
	MaxChanges = 20
	// maxTextBytes limits the length of an author or a nonce, so that the history
	// stays small.
	maxTextBytes = 128
)

// Change is one entry of the history of a service.
type Change struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Nonce    string    `json:"nonce"` // chosen by the author's command; distinguishes equal changes
}

// Document is one revision of the class file of a service. It is immutable.
type Document struct {
	service string
	changes []Change // oldest first; the last one created this revision
	source  string
	file    toucanclass.File
}

// Service returns the name of the service.
func (d Document) Service() string { return d.service }

// Revision returns the revision; 0 means that there is no document.
func (d Document) Revision() uint64 { return d.lastChange().Revision }

// Previous returns the revision that this revision replaced.
func (d Document) Previous() uint64 { return max(d.Revision(), 1) - 1 }

// Author returns the author of this revision.
func (d Document) Author() string { return d.lastChange().Author }

// Time returns when the change was applied, by the clock of the node that applied
// it.
func (d Document) Time() time.Time { return d.lastChange().Time }

// Nonce returns the nonce of the change.
func (d Document) Nonce() string { return d.lastChange().Nonce }

// Source returns the class file as its author wrote it.
func (d Document) Source() string { return d.source }

// File returns the parsed class file.
func (d Document) File() toucanclass.File { return d.file }

// Changes returns the last changes, oldest first.
func (d Document) Changes() []Change { return slices.Clone(d.changes) }

func (d Document) lastChange() Change {
	if len(d.changes) == 0 {
		return Change{}
	}
	return d.changes[len(d.changes)-1]
}

// changeWithNonce returns the change in the history that has the nonce.
func (d Document) changeWithNonce(nonce string) (Change, bool) {
	i := slices.IndexFunc(d.changes, func(c Change) bool { return c.Nonce == nonce })
	if i < 0 {
		return Change{}, false
	}
	return d.changes[i], true
}

// historyIncludes reports whether the history goes back to a revision.
func (d Document) historyIncludes(revision uint64) bool {
	return len(d.changes) > 0 && d.changes[0].Revision <= revision
}

// WithChange returns the document with the next revision.
func (d Document) WithChange(service, author, nonce, source string, at time.Time) (next Document, err error) {
	file, err := toucanclass.ParseFile(service, []byte(source))
	if err != nil {
		return Document{}, err
	}
	next = Document{service: service, source: source, file: file}
	next.changes = append(d.Changes(), Change{Revision: d.Revision() + 1, Author: author, Time: at.UTC(), Nonce: nonce})
	next.changes = next.changes[max(0, len(next.changes)-MaxChanges):]
	return next, next.validate()
}

func (d Document) validate() error {
	last := d.lastChange()
	switch {
	case d.file.Service != d.service:
		return fmt.Errorf("class file is for service %q, want %q", d.file.Service, d.service)
	case last.Revision == 0:
		return fmt.Errorf("document of service %q has no revision", d.service)
	}
	if err := validateText("author", last.Author); err != nil {
		return err
	}
	if err := validateText("nonce", last.Nonce); err != nil {
		return err
	}
	for i, c := range d.changes {
		if c.Revision+uint64(len(d.changes)-1-i) != last.Revision {
			return fmt.Errorf("document of service %q has a gap in its changes", d.service)
		}
	}
	return nil
}

// validateText checks the length and the characters of an author or a nonce.
// Control characters must not reach logs and the operators' terminals.
func validateText(name, text string) error {
	if text == "" || len(text) > maxTextBytes {
		return fmt.Errorf("%s has %d bytes, want 1 to %d", name, len(text), maxTextBytes)
	}
	if !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl) {
		return fmt.Errorf("%s %q contains control characters or is not UTF-8", name, text)
	}
	return nil
}

// documentMessage is the encoding of a document in the key-value service and in
// messages.
type documentMessage struct {
	Service          string    `json:"service"`
	Revision         uint64    `json:"revision"`
	PreviousRevision uint64    `json:"previous_revision"`
	Author           string    `json:"author"`
	Time             time.Time `json:"time"`
	Nonce            string    `json:"nonce"`
	ClassFile        string    `json:"class_file"`
	Changes          []Change  `json:"changes"`
}

func (d Document) message() documentMessage {
	return documentMessage{
		Service: d.service, Revision: d.Revision(), PreviousRevision: d.Previous(),
		Author: d.Author(), Time: d.Time(), Nonce: d.Nonce(),
		ClassFile: d.source, Changes: d.changes,
	}
}

// Encode returns the JSON encoding that is stored and sent. It drops the oldest
// changes if the document would exceed the maximum size of a value in the key-value
// service. It returns an error if the class file and its last change do not fit.
func (d Document) Encode() ([]byte, error) {
	m := d.message()
	for {
		var b bytes.Buffer
		encoder := json.NewEncoder(&b)
		encoder.SetEscapeHTML(false)
		if err := encoder.Encode(m); err != nil {
			return nil, err
		}
		if b.Len() <= toucankv.MaxValueBytes {
			return b.Bytes(), nil
		}
		if len(m.Changes) <= 1 {
			return nil, fmt.Errorf("document has %d bytes, at most %d are allowed", b.Len(), toucankv.MaxValueBytes)
		}
		m.Changes = m.Changes[1:]
	}
}

// Decode decodes a document and validates it.
func Decode(data []byte) (d Document, err error) {
	defer func() {
		if err != nil {
			d, err = Document{}, fmt.Errorf("decode document: %w", err)
		}
	}()
	if len(data) > toucankv.MaxValueBytes {
		return d, fmt.Errorf("%d bytes, at most %d are allowed", len(data), toucankv.MaxValueBytes)
	}
	var m documentMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return d, err
	}
	file, err := toucanclass.ParseFile(m.Service, []byte(m.ClassFile))
	if err != nil {
		return d, err
	}
	d = Document{service: m.Service, source: m.ClassFile, file: file, changes: m.Changes}
	if d.Revision() != m.Revision || d.Nonce() != m.Nonce || len(m.Changes) > MaxChanges {
		return d, fmt.Errorf("revision %d does not match its changes", m.Revision)
	}
	return d, d.validate()
}

// Key returns the key of a service's document in the key-value service.
func Key(service string) string { return "config/" + service }

// Store holds the documents that are in force at a node. Its zero value is
// ready to use.
type Store struct {
	documents map[string]Document
}

// Get returns the document in force. If the service has none, the document has
// revision 0 and an empty class file, so that the class of each request is
// toucanclass.Default.
func (s *Store) Get(service string) (d Document, ok bool) {
	d, ok = s.documents[service]
	return d, ok
}

// Install puts a document in force if its revision is higher than the one in
// force. It reports whether it did.
func (s *Store) Install(d Document) bool {
	if d.Revision() <= s.documents[d.service].Revision() {
		return false
	}
	if s.documents == nil {
		s.documents = make(map[string]Document)
	}
	s.documents[d.service] = d
	return true
}

// Remove removes the document of a service whose configuration the node no longer
// needs.
func (s *Store) Remove(service string) { delete(s.documents, service) }
