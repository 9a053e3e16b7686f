package toucanonce

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"

	"toucanhaven/toucancall"
)

const (
	sealMagic = "toucanseal1"
	// sealChecksumBytes is the size of the checksum. Without it a corrupt record
	// could show a key that ran as one that never started.
	sealChecksumBytes = 4
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// Seal records which keys one incarnation of a home started before it stopped
// running keys. It covers the sequences from First up to but not including Next.
// The home dropped the states of the sequences below First.
type Seal struct {
	Identity
	First, Next uint64
	started     []sequenceRange
}

// sequenceRange is a non-empty range of started sequences; end is exclusive.
type sequenceRange struct{ first, end uint64 }

// SealPath returns the KV key of the seal of one incarnation.
func SealPath(id Identity) string {
	return "seal/" + id.Service + "/" + id.Node + "/" + strconv.FormatInt(id.Incarnation, 10)
}

// Home returns the identity of the home that issued the key.
func (k Key) Home() Identity {
	return Identity{Service: k.Service, Node: k.Node, Incarnation: k.Incarnation}
}

// add records a started sequence, which must be greater than all recorded ones.
func (s *Seal) add(seq uint64) {
	if n := len(s.started); n > 0 && s.started[n-1].end == seq {
		s.started[n-1].end++
		return
	}
	s.started = append(s.started, sequenceRange{first: seq, end: seq + 1})
}

// Started reports whether the sequence is recorded as started.
func (s Seal) Started(seq uint64) bool {
	low, high := 0, len(s.started)
	for low < high {
		middle := (low + high) / 2
		if s.started[middle].end <= seq {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low < len(s.started) && s.started[low].first <= seq
}

// Decide returns the decision on a retry with the key: Refused if the key never
// started, Unknown if it started, precedes First or belongs to another home.
func (s Seal) Decide(k Key) Decision {
	if k.Home() != s.Identity || k.Sequence < s.First || s.Started(k.Sequence) {
		return Unknown{Reason: toucancall.ReasonKeyUnknown}
	}
	return Refused{Reason: toucancall.ReasonLeaving}
}

// Encode returns the record for the KV: a magic string, the identity, First, the
// number of sequences, the started sequences and a checksum. The started
// sequences are encoded as ranges or as a bitmap, whichever is shorter.
func (s Seal) Encode() []byte {
	b := append([]byte(nil), sealMagic...)
	b = appendText(b, s.Service)
	b = appendText(b, s.Node)
	b = binary.AppendUvarint(b, uint64(s.Incarnation))
	b = binary.AppendUvarint(b, s.First)
	b = binary.AppendUvarint(b, s.Next-s.First)
	ranges, bitmap := s.encodeRanges(), s.bitmapSize()
	if len(ranges) <= bitmap {
		b = append(append(b, 'r'), ranges...)
	} else {
		b = append(append(b, 'b'), s.encodeBitmap()...)
	}
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoliTable))
}

// encodeRanges encodes the started sequences as alternating lengths of gaps and
// ranges.
func (s Seal) encodeRanges() []byte {
	var b []byte
	end := s.First
	for _, r := range s.started {
		b = binary.AppendUvarint(b, r.first-end)
		b = binary.AppendUvarint(b, r.end-r.first)
		end = r.end
	}
	return b
}

func (s Seal) bitmapSize() int { return int((s.Next - s.First + 7) / 8) }

func (s Seal) encodeBitmap() []byte {
	b := make([]byte, s.bitmapSize())
	for _, r := range s.started {
		for i := r.first - s.First; i < r.end-s.First; i++ {
			b[i/8] |= 1 << (i % 8)
		}
	}
	return b
}

// DecodeSeal decodes a record written by Encode.
func DecodeSeal(record []byte) (s Seal, err error) {
	defer func() {
		if err != nil {
			s, err = Seal{}, fmt.Errorf("seal: %w", err)
		}
	}()
	if len(record) < len(sealMagic)+sealChecksumBytes || string(record[:len(sealMagic)]) != sealMagic {
		return s, errors.New("not a seal")
	}
	body := record[:len(record)-sealChecksumBytes]
	if crc32.Checksum(body, castagnoliTable) != binary.BigEndian.Uint32(record[len(body):]) {
		return s, errors.New("checksum mismatch")
	}
	r := &sealReader{rest: body[len(sealMagic):]}
	s.Service, s.Node = r.readText(), r.readText()
	s.Incarnation, s.First = int64(r.readNumber()), r.readNumber()
	count, encoding := r.readNumber(), r.readByte()
	if r.err != nil {
		return s, r.err
	}
	if count > DefaultMaxKeys || s.First > 1<<63 {
		return s, errors.New("range of sequences is out of bounds")
	}
	s.Next = s.First + count
	switch encoding {
	case 'r':
		err = s.decodeRanges(r)
	case 'b':
		err = s.decodeBitmap(r.rest)
	default:
		err = errors.New("unknown encoding of the started sequences")
	}
	if err != nil {
		return s, err
	}
	return s, checkIdentity(s.Service, s.Node, s.Incarnation)
}

func (s *Seal) decodeRanges(r *sealReader) error {
	next := s.First
	for len(r.rest) > 0 {
		gap, length := r.readNumber(), r.readNumber()
		remaining := s.Next - next
		if r.err != nil || gap > remaining || length == 0 || length > remaining-gap || (gap == 0 && len(s.started) > 0) {
			return errors.New("malformed ranges of started sequences")
		}
		first := next + gap
		next = first + length
		s.started = append(s.started, sequenceRange{first: first, end: next})
	}
	return nil
}

func (s *Seal) decodeBitmap(bitmap []byte) error {
	if len(bitmap) != s.bitmapSize() {
		return errors.New("bitmap has the wrong length")
	}
	for i := range uint64(len(bitmap)) * 8 {
		if bitmap[i/8]&(1<<(i%8)) == 0 {
			continue
		}
		if s.First+i >= s.Next {
			return errors.New("bitmap has bits beyond the range of sequences")
		}
		s.add(s.First + i)
	}
	return nil
}

func appendText(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

// sealReader reads the fields of a record. After a failed read err is set.
type sealReader struct {
	rest []byte
	err  error
}

func (r *sealReader) readNumber() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.err, r.rest = errors.New("truncated"), nil
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *sealReader) readText() string {
	n := r.readNumber()
	if n > uint64(len(r.rest)) {
		r.err, r.rest = errors.New("truncated"), nil
		return ""
	}
	text := string(r.rest[:n])
	r.rest = r.rest[n:]
	return text
}

func (r *sealReader) readByte() byte {
	if len(r.rest) == 0 {
		r.err = errors.New("truncated")
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}
