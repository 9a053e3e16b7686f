package toucanconfig

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanclass"
	"toucanhaven/toucanclock"
	"toucanhaven/toucankv"
)

// Guards against documents that exceed the maximum value size of the key-value
// service, because they could never be changed again. A history of unlimited length
// would make a document exceed it.
func TestDocumentLimits(t *testing.T) {
	is := is.New(t)
	var d Document
	for i := range MaxChanges + 5 {
		var err error
		d, err = d.WithChange("ordini", "anna", fmt.Sprint(i), simSource, time.Unix(0, 0))
		is.NoErr(err)
	}
	is.Equal(len(d.Changes()), MaxChanges)
	is.Equal(d.Revision(), uint64(MaxChanges+5))
	is.Equal(d.Previous(), uint64(MaxChanges+4))

	// Encoded quotes take two bytes, so that Encode must drop old changes.
	large := simSource + "#" + strings.Repeat(`"`, toucankv.MaxValueBytes/2-len(simSource)-600)
	d, err := d.WithChange("ordini", "anna", "last", large, time.Unix(0, 0))
	is.NoErr(err)
	encoded, err := d.Encode()
	is.NoErr(err)
	is.True(len(encoded) <= toucankv.MaxValueBytes)
	decoded, err := Decode(encoded)
	is.NoErr(err)
	is.True(len(decoded.Changes()) < MaxChanges)
	is.Equal(decoded.Revision(), d.Revision())
	is.Equal(decoded.Source(), large)
}

// Guards against a retry that applies a change twice or reports a conflict with
// itself. An operator retries a change with the same nonce after an unknown result.
func TestApplyIsIdempotentByNonce(t *testing.T) {
	is := is.New(t)
	clock := toucanclock.NewManual(time.Unix(1000, 0))
	request := Request{Service: "ordini", Author: "anna", Nonce: "n", Source: simSource}
	first := NewApplyState(clock, request, 0)
	first.ReadDone(toucankv.Pair{}, &toucankv.NotFoundError{})
	write := first.Next().(WriteStep)
	first.WriteDone(&toucankv.UnknownResultError{})
	clock.Advance(time.Minute)
	first.ReadDone(toucankv.Pair{}, errors.New("unreachable"))
	var unknown *UnknownError
	is.True(errors.As(first.Next().(DoneStep).Err, &unknown))

	stored := toucankv.Pair{Value: write.Value, Index: 1}
	retried := NewApplyState(clock, request, 0)
	retried.ReadDone(stored, nil)
	is.NoErr(retried.Next().(DoneStep).Err)

	// A change must be refused if the key-value service lost the revision in force.
	request.Nonce, request.Replaces = "m", 1
	restored := NewApplyState(clock, request, 2)
	restored.ReadDone(stored, nil)
	var unavailable *UnavailableError
	is.True(errors.As(restored.Next().(DoneStep).Err, &unavailable))
}

func FuzzDecode(f *testing.F) {
	d, err := Document{}.WithChange("ordini", "anna", "n", simSource, time.Unix(0, 0))
	if err != nil {
		f.Fatal(err)
	}
	encoded, _ := d.Encode()
	f.Add(encoded)
	f.Add([]byte(`{"service":"ordini"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Decode(data)
		if err != nil {
			return
		}
		first, err := d.Encode()
		if err != nil {
			t.Fatalf("decoded document does not encode: %v", err)
		}
		again, err := Decode(first)
		if err != nil {
			t.Fatalf("encoded document does not decode: %v", err)
		}
		if second, _ := again.Encode(); !bytes.Equal(first, second) {
			t.Fatalf("document changes: %s\n%s", first, second)
		}
	})
}

// Guards against documents that are larger than estimated, because every node
// receives each change. Prints the size of documents for the capacity page.
func TestDocumentBytes(t *testing.T) {
	for _, classes := range []int{2, 10, toucanclass.MaxClasses} {
		file := toucanclass.File{Service: "ordini"}
		for i := range classes {
			file.Classes = append(file.Classes, toucanclass.Class{
				Name: fmt.Sprintf("class_%d", i), Method: "POST", Path: fmt.Sprintf("/orders/%d", i),
				Latency: 800 * time.Millisecond, Success: 0.9999, AtMostOnce: true,
			})
		}
		var d Document
		for i := range MaxChanges {
			var err error
			d, err = d.WithChange("ordini", "anna.rossi", fmt.Sprintf("%026d", i), string(file.Canonical()), time.Unix(1767225600, 0))
			is.New(t).NoErr(err)
		}
		encoded, err := d.Encode()
		is.New(t).NoErr(err)
		var b bytes.Buffer
		is.New(t).NoErr(gob.NewEncoder(&b).Encode(d.message()))
		t.Logf("classes=%d file_bytes=%d json_bytes=%d gob_bytes=%d", classes, len(d.Source()), len(encoded), b.Len())
		is.New(t).True(len(encoded) < 4096+2*len(d.Source()))
	}
}
