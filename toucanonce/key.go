package toucanonce

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxKeyBytes bounds the text of a key.
	MaxKeyBytes = 256
	// MaxServiceBytes bounds the service name in an issued key.
	MaxServiceBytes = 128
	// MaxNodeBytes bounds the node id in an issued key. A key with every field at
	// its maximum length has MaxKeyBytes bytes.
	MaxNodeBytes = 54

	keyPrefix     = "toucan1~"
	keySeparator  = "~"
	keyNumberBase = 36 // base of the numbers in a key
	tagBytes      = 16 // HMAC-SHA-256 truncated to 128 bits
)

// ErrNotIssued reports that a key was made by a caller: it does not have the
// prefix of issued keys.
var ErrNotIssued = errors.New("not an issued key")

// MalformedKeyError reports a key that is neither an issued key nor one that a
// caller may send.
type MalformedKeyError struct {
	Want string // description of a valid key
}

// Error returns one line that describes a valid key.
func (e *MalformedKeyError) Error() string { return "malformed key: want " + e.Want }

// Key is an issued idempotency key. It is immutable and comparable.
type Key struct {
	Service     string
	Node        string // id of the home node
	Incarnation int64  // incarnation of the home node
	Sequence    uint64
	Expiry      time.Time // by the home's clock, in whole milliseconds
	tag         [tagBytes]byte
}

// String returns the text of the key.
func (k Key) String() string {
	return string(k.appendText(make([]byte, 0, MaxKeyBytes)))
}

func (k Key) appendText(b []byte) []byte {
	b = k.appendSigned(b)
	b = append(b, keySeparator...)
	return base64.RawURLEncoding.AppendEncode(b, k.tag[:])
}

// appendSigned appends the part of the text that the tag authenticates.
func (k Key) appendSigned(b []byte) []byte {
	b = append(b, keyPrefix...)
	b = append(b, k.Service...)
	b = append(b, keySeparator...)
	b = append(b, k.Node...)
	b = append(b, keySeparator...)
	b = strconv.AppendInt(b, k.Incarnation, keyNumberBase)
	b = append(b, keySeparator...)
	b = strconv.AppendUint(b, k.Sequence, keyNumberBase)
	b = append(b, keySeparator...)
	return strconv.AppendInt(b, k.Expiry.UnixMilli(), keyNumberBase)
}

// ParseKey parses an issued key. It returns ErrNotIssued for a valid key made by a
// caller and a *MalformedKeyError for any other text. It does not check the tag:
// only the home that the key names can tell whether it issued the key.
func ParseKey(text string) (k Key, err error) {
	if err := checkKeyText(text); err != nil {
		return Key{}, err
	}
	rest, found := strings.CutPrefix(text, keyPrefix)
	if !found {
		return Key{}, ErrNotIssued
	}
	defer func() {
		if err != nil {
			k, err = Key{}, &MalformedKeyError{Want: fmt.Sprintf("an unchanged issued key after %q: %v", keyPrefix, err)}
		}
	}()
	// Parse the fields from the end, because a service name may contain the separator.
	var tag, expiry, sequence, incarnation string
	for _, field := range []*string{&tag, &expiry, &sequence, &incarnation, &k.Node} {
		i := strings.LastIndex(rest, keySeparator)
		if i < 0 {
			return k, errors.New("a field is missing")
		}
		rest, *field = rest[:i], rest[i+1:]
	}
	k.Service = rest
	if err := k.parseFields(incarnation, sequence, expiry, tag); err != nil {
		return k, err
	}
	if k.String() != text {
		return k, errors.New("another form of the same key")
	}
	return k, checkIdentity(k.Service, k.Node, k.Incarnation)
}

func (k *Key) parseFields(incarnation, sequence, expiry, tag string) error {
	var err error
	if k.Incarnation, err = strconv.ParseInt(incarnation, keyNumberBase, 64); err != nil {
		return errors.New("incarnation is no number")
	}
	if k.Sequence, err = strconv.ParseUint(sequence, keyNumberBase, 64); err != nil {
		return errors.New("sequence is no number")
	}
	ms, err := strconv.ParseInt(expiry, keyNumberBase, 64)
	if err != nil || ms < 0 {
		return errors.New("expiry is no time")
	}
	k.Expiry = time.UnixMilli(ms)
	if base64.RawURLEncoding.DecodedLen(len(tag)) != tagBytes {
		return errors.New("tag has the wrong length")
	}
	if _, err := base64.RawURLEncoding.Decode(k.tag[:], []byte(tag)); err != nil {
		return errors.New("tag is not base64")
	}
	return nil
}

// checkKeyText returns an error unless text is a key that a header may carry.
func checkKeyText(text string) error {
	if text == "" || len(text) > MaxKeyBytes || !isPrintable(text) {
		return &MalformedKeyError{Want: fmt.Sprintf("1 to %d printable ASCII characters without spaces", MaxKeyBytes)}
	}
	return nil
}

func isPrintable(text string) bool {
	for _, b := range []byte(text) {
		if b <= ' ' || b >= 0x7f {
			return false
		}
	}
	return true
}

// checkIdentity returns an error unless a key or a seal may carry the names of the
// service and the node and the incarnation.
func checkIdentity(service, node string, incarnation int64) error {
	switch {
	case service == "" || len(service) > MaxServiceBytes || !isPrintable(service):
		return fmt.Errorf("service: want 1 to %d printable ASCII characters", MaxServiceBytes)
	case node == "" || len(node) > MaxNodeBytes || !isPrintable(node) || strings.Contains(node, keySeparator):
		return fmt.Errorf("node id: want 1 to %d printable ASCII characters without %q", MaxNodeBytes, keySeparator)
	case incarnation < 0:
		return errors.New("incarnation: want at least 0")
	}
	return nil
}
