package toucanmemory

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// ReadLimited reads r to its end. It returns ErrTooLarge if there are more than limit bytes.
func ReadLimited(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	return data, err
}

// DecodeList decodes a JSON array, or null, of at most limit elements. Decoded elements may be
// many times as large as their bytes, so that a limit on the bytes does not bound them.
// The error is ErrTooLarge for a longer array.
func DecodeList[T any](data []byte, limit int) (list []T, err error) {
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return nil, nil
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	if t, err := dec.Token(); err != nil {
		return nil, err
	} else if t != json.Delim('[') {
		return nil, fmt.Errorf("JSON value is %v, want an array", t)
	}
	for dec.More() {
		if len(list) == limit {
			return nil, fmt.Errorf("%w: more than %d elements", ErrTooLarge, limit)
		}
		var e T
		if err := dec.Decode(&e); err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	if _, err := dec.Token(); err != nil { // the end of the array
		return nil, err
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, fmt.Errorf("JSON array is followed by other values")
	}
	return list, nil
}
