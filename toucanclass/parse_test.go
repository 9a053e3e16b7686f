package toucanclass

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
)

// Guards against a mistake in a class file that is accepted, which would change the
// requests that are refused under overload, and against a problem without a line or with
// the wrong one, which misleads the operator.
// testdata/files.txtar holds pairs of a class file and what ParseFile must return.
func TestParseFile(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/files.txtar")
	is.New(t).NoErr(err)
	for i := 0; i < len(archive.Files); i += 2 {
		source, want := archive.Files[i], archive.Files[i+1]
		t.Run(source.Name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(want.Name, source.Name+".want")
			file, err := ParseFile(source.Name, source.Data)
			got := string(file.Canonical())
			if err != nil {
				got = err.Error() + "\n"
			}
			is.Equal(got, string(want.Data))
		})
	}
}

// A file over a limit must be rejected: it would not fit into a value of the key-value
// service, or would create too many metrics.
func TestParseFileLimits(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	b.WriteString("service = \"ordini\"\n")
	for i := range MaxClasses + 1 {
		fmt.Fprintf(&b, "[[class]]\nname = \"c%d\"\npath = \"/%d\"\nlatency = \"1s\"\nsuccess = 0.9\n", i, i)
	}
	_, err := ParseFile("f", b.Bytes())
	is.Equal(err.Error(), "f:1002: file has 201 classes, at most 200 are allowed")
	_, err = ParseFile("f", bytes.Repeat([]byte("#"), MaxFileBytes+1))
	is.Equal(err.Error(), "f:1: file has 524289 bytes, at most 524288 are allowed")
}

func FuzzParseFile(f *testing.F) {
	archive, err := txtar.ParseFile("testdata/files.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range archive.Files {
		f.Add(file.Data)
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		file, err := ParseFile("f", source)
		if err != nil {
			var fileErr *FileError
			if !errors.As(err, &fileErr) || len(fileErr.Problems) == 0 {
				t.Fatalf("error is not a *FileError with problems: %v", err)
			}
			if n := strings.Count(err.Error(), "\n"); n != len(fileErr.Problems)-1 {
				t.Fatalf("%d line breaks for %d problems: %q", n, len(fileErr.Problems), err)
			}
			return
		}
		canonical := file.Canonical()
		reparsed, err := ParseFile("f", canonical)
		if err != nil {
			t.Fatalf("canonical form is rejected: %v\n%s", err, canonical)
		}
		if !bytes.Equal(reparsed.Canonical(), canonical) {
			t.Fatalf("canonical form changes:\n%s\n%s", canonical, reparsed.Canonical())
		}
	})
}
