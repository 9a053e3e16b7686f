package toucanresponse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxTrailerBytes limits the trailer section, expectedTrailerBytes is the size up to which
	// it is read without an allocation.
	maxTrailerBytes      = 4 << 10
	expectedTrailerBytes = 256
	// chunkEnd ends the line of a chunk and its data.
	chunkEnd = "\r\n"
	// maxChunkDigits limits the digits of a chunk size.
	maxChunkDigits = 16
	// maxChunkOverhead limits the bytes of chunk lines beyond freeChunkOverhead a chunk and
	// twice its data, so that a sender cannot keep a reader busy with little data.
	maxChunkOverhead  = 16 << 10
	freeChunkOverhead = 16
)

var (
	errChunkSize     = errors.New("chunk is longer than its size")
	errChunkOverhead = errors.New("chunks have too little data")
)

// untilClose is a body that ends with the connection.
type untilClose struct{ io.Reader }

func (untilClose) Close() error { return nil }

// lengthBody is a body of a known length.
type lengthBody struct {
	r    *bufio.Reader
	left int64
}

func (b *lengthBody) Close() error { return nil }

func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks (RFC 9112 section 7.1).
type chunkedBody struct {
	r        *bufio.Reader
	resp     *http.Response // its Trailer is set at the end
	left     uint64         // bytes of the current chunk
	inChunk  bool           // the end of the current chunk has not been read
	overhead int64
	err      error // ends the body
}

func (b *chunkedBody) Close() error { return nil }

func (b *chunkedBody) Read(p []byte) (n int, err error) {
	if b.err == nil {
		n, b.err = b.read(p)
	}
	return n, b.err
}

func (b *chunkedBody) read(p []byte) (n int, err error) {
	if b.left == 0 {
		if err := b.beginChunk(); err != nil {
			return 0, err
		}
		if b.left == 0 {
			if err := b.readTrailer(); err != nil {
				return 0, err
			}
			return 0, io.EOF
		}
	}
	n, err = b.r.Read(p[:min(uint64(len(p)), b.left)])
	b.left -= uint64(n)
	if err == nil && b.left == 0 && b.r.Buffered() >= len(chunkEnd) {
		err = b.endChunk() // what is left in the buffer is then data that waits to be read
	}
	return n, unexpectedEOF(err)
}

// endChunk reads the end of the current chunk.
func (b *chunkedBody) endChunk() error {
	var end [len(chunkEnd)]byte
	if _, err := io.ReadFull(b.r, end[:]); err != nil {
		return unexpectedEOF(err)
	}
	if string(end[:]) != chunkEnd {
		return errChunkSize
	}
	b.inChunk = false
	return nil
}

// beginChunk reads the line of the next chunk.
func (b *chunkedBody) beginChunk() error {
	if b.inChunk {
		if err := b.endChunk(); err != nil {
			return err
		}
	}
	line, err := b.r.ReadSlice('\n')
	if err != nil {
		return unexpectedEOF(err)
	}
	text, found := bytes.CutSuffix(line, []byte(chunkEnd))
	if !found {
		return errLineEnd
	}
	if b.left, err = parseChunkLine(string(text)); err != nil {
		return err
	}
	b.inChunk = true
	b.overhead = max(0, b.overhead+int64(len(line))-freeChunkOverhead-2*int64(min(b.left, maxChunkOverhead)))
	if b.overhead > maxChunkOverhead {
		return errChunkOverhead
	}
	return nil
}

// parseChunkLine returns the size of a chunk. Extensions are ignored.
func parseChunkLine(line string) (uint64, error) {
	if !httpguts.ValidHeaderFieldValue(line) {
		return 0, fmt.Errorf("control character in the chunk line %.40q", line)
	}
	size, _, _ := strings.Cut(strings.TrimRight(line, " \t"), ";")
	n, err := strconv.ParseUint(size, 16, 64)
	if err != nil || len(size) > maxChunkDigits {
		return 0, fmt.Errorf("chunk size is %.40q, want a hexadecimal number", size)
	}
	return n, nil
}

// readTrailer reads the trailer section and merges it into the trailer of the response.
func (b *chunkedBody) readTrailer() error {
	var buf [expectedTrailerBytes]byte
	section, err := readSection(b.r, buf[:0], maxTrailerBytes, "\r\n")
	if err != nil || section == "" {
		return err
	}
	fields, err := parseFields(section)
	if err != nil {
		return fmt.Errorf("trailer: %w", err)
	}
	if b.resp.Trailer == nil {
		b.resp.Trailer = fields
		return nil
	}
	maps.Copy(b.resp.Trailer, fields)
	return nil
}
