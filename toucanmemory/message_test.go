package toucanmemory_test

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"toucanhaven/toucanmemory"
)

type sample struct {
	Name string
	Body []byte
}

// Messages of any size below the limit must be read unchanged, however they arrive, and hold
// nothing once the stream has ended.
func TestMessages(t *testing.T) {
	var stream bytes.Buffer
	enc := gob.NewEncoder(&stream)
	sizes := []int{0, 1, 100, 127, 128, 129, 5000, 70_000, 300_000, 10}
	for _, n := range sizes {
		if err := enc.Encode(sample{"s", bytes.Repeat([]byte{200}, n)}); err != nil {
			t.Fatal(err)
		}
	}
	for _, tt := range []struct {
		name string
		wrap func(io.Reader) io.Reader
	}{
		{"whole", func(r io.Reader) io.Reader { return r }},
		{"halves", iotest.HalfReader},
		{"bytes", iotest.OneByteReader},
		{"data_and_error", iotest.DataErrReader},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := toucanmemory.NewBudget(300_000)
			dec := gob.NewDecoder(toucanmemory.NewMessages(tt.wrap(bytes.NewReader(stream.Bytes())), b, 400_000))
			for _, n := range sizes {
				var got sample
				is.NoErr(dec.Decode(&got))
				is.Equal(len(got.Body), n)
				is.True(b.Used() <= 300_000)
			}
			is.Equal(dec.Decode(new(sample)), io.EOF)
			is.Equal(b.Used(), int64(0))
		})
	}
}

// A message above the limit, or for which there is no room, must end the stream.
func TestMessagesBeyondLimit(t *testing.T) {
	is := is.New(t)
	var stream bytes.Buffer
	is.NoErr(gob.NewEncoder(&stream).Encode(sample{"s", make([]byte, 300_000)}))
	b := toucanmemory.NewBudget(1 << 20)
	err := gob.NewDecoder(toucanmemory.NewMessages(bytes.NewReader(stream.Bytes()), b, 100_000)).Decode(new(sample))
	is.True(errors.Is(err, toucanmemory.ErrTooLarge))
	is.Equal(b.Used(), int64(0))

	is.True(b.Reserve(900_000))
	err = gob.NewDecoder(toucanmemory.NewMessages(bytes.NewReader(stream.Bytes()), b, 1<<20)).Decode(new(sample))
	is.True(errors.Is(err, toucanmemory.ErrExhausted))
	is.Equal(b.Used(), int64(900_000))

	endless := io.MultiReader(bytes.NewReader([]byte{0xf0}), bytes.NewReader(make([]byte, 1000))) // a length of 16 bytes
	is.True(gob.NewDecoder(toucanmemory.NewMessages(endless, b, 1<<20)).Decode(new(sample)) != nil)
}

// Whatever bytes come, however they are split, they must be read unchanged up to an error, and
// hold nothing after the end of the stream.
func FuzzMessages(f *testing.F) {
	var stream bytes.Buffer
	enc := gob.NewEncoder(&stream)
	for _, n := range []int{0, 100, 70_000} {
		if err := enc.Encode(sample{"s", make([]byte, n)}); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(stream.Bytes(), 5)
	f.Add([]byte{0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1}, 1)
	f.Add([]byte{0xfd, 2, 0, 0, 7}, 2)
	f.Add([]byte{0x80}, 1)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		b := toucanmemory.NewBudget(1 << 20)
		m := toucanmemory.NewMessages(bytes.NewReader(data), b, 1<<20)
		buf := make([]byte, 1+uint(piece)%5000)
		var got []byte
		for {
			n, err := m.Read(buf)
			got = append(got, buf[:n]...)
			if b.Used() > 1<<20 {
				t.Fatalf("%d bytes held", b.Used())
			}
			if err != nil {
				if err == io.EOF && len(got) != len(data) {
					t.Fatalf("%d of %d bytes read", len(got), len(data))
				}
				break
			}
		}
		if !bytes.HasPrefix(data, got) {
			t.Fatal("the bytes were changed")
		}
		if b.Used() != 0 {
			t.Fatalf("%d bytes held at the end", b.Used())
		}
	})
}
