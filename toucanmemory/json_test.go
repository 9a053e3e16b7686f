package toucanmemory_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/toucanmemory"
)

// A list must be decoded as encoding/json does, but never beyond its limit.
func TestDecodeList(t *testing.T) {
	type element struct{ Key string }
	for _, tt := range []struct {
		data string
		want int // elements; -1 for an error
	}{
		{`[]`, 0}, {` null `, 0}, {`[{"Key":"a"},{"Key":"b"}]`, 2}, {`[{},{},{}]`, 3}, {`[{},{},{},{}]`, -1},
		{``, -1}, {`{}`, -1}, {`"a"`, -1}, {`[`, -1}, {`[{}`, -1}, {`[{},]`, -1}, {`[7]`, -1}, {`[] []`, -1}, {`[{}]x`, -1}, {`nul`, -1},
	} {
		is := is.New(t)
		list, err := toucanmemory.DecodeList[element]([]byte(tt.data), 3)
		is.Equal(err != nil, tt.want < 0)
		if err == nil {
			is.Equal(len(list), tt.want)
		}
	}
	_, err := toucanmemory.DecodeList[element]([]byte("["+strings.Repeat("{},", 100)+"{}]"), 100)
	is.New(t).True(errors.Is(err, toucanmemory.ErrTooLarge))
}

func TestReadLimited(t *testing.T) {
	is := is.New(t)
	data, err := toucanmemory.ReadLimited(strings.NewReader("abc"), 3)
	is.NoErr(err)
	is.Equal(string(data), "abc")
	_, err = toucanmemory.ReadLimited(strings.NewReader("abcd"), 3)
	is.True(errors.Is(err, toucanmemory.ErrTooLarge))
}
