package toucanonce

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
)

var (
	testStart    = time.UnixMilli(1_800_000_000_000)
	testIdentity = Identity{Service: "ordini", Node: "10.0.0.5:7003", Incarnation: 1_800_000_000_000_000_000}
	testSecret   = []byte("0123456789abcdef")
)

func newTestHome(t testing.TB, options ...HomeOption) (*Home, *toucanclock.Manual) {
	t.Helper()
	clock := toucanclock.NewManual(testStart)
	h, err := NewHome(testIdentity, testSecret, clock, options...)
	if err != nil {
		t.Fatal(err)
	}
	return h, clock
}

func answeredWith(body string) Answer {
	return Answer{Outcome: toucancall.Answered, Status: 200, Body: []byte(body)}
}

// Guards against a key that is longer than MaxKeyBytes.
func TestKeyWithLongestFieldsFits(t *testing.T) {
	is := is.New(t)
	k := Key{Service: strings.Repeat("s", MaxServiceBytes), Node: strings.Repeat("n", MaxNodeBytes),
		Incarnation: 1<<63 - 1, Sequence: 1<<64 - 1, Expiry: time.UnixMilli(1<<47 - 1)}
	is.True(len(k.String()) <= MaxKeyBytes)
	parsed, err := ParseKey(k.String())
	is.NoErr(err)
	is.Equal(parsed, k)
}

// Guards against a forged key or a key made by a caller that is accepted as an issued
// key.
func TestForgedKeysAreNotIssued(t *testing.T) {
	h, _ := newTestHome(t)
	issued := h.Issue(1)[0]
	forged := issued
	forged.Sequence++
	malformed := new(MalformedKeyError)
	tests := []struct {
		name, text string
		malformed  bool
		decision   Decision
	}{
		{"plain", "order-4711", false, nil},
		{"space", "order 4711", true, nil},
		{"empty", "", true, nil},
		{"long", strings.Repeat("k", MaxKeyBytes+1), true, nil},
		{"prefix_only", keyPrefix, true, nil},
		{"upper_case_number", strings.Replace(issued.String(), "~1~", "~01~", 1), true, nil},
		{"next_sequence", forged.String(), false, Refused{Reason: toucancall.ReasonBadRequest}},
		{"issued", issued.String(), false, Run{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			k, err := ParseKey(tt.text)
			is.Equal(errors.As(err, &malformed), tt.malformed)
			is.Equal(errors.Is(err, ErrNotIssued), !tt.malformed && tt.decision == nil)
			if tt.decision != nil {
				is.Equal(h.Begin(k), tt.decision)
			}
		})
	}
}

func FuzzParseKey(f *testing.F) {
	h, _ := newTestHome(f)
	f.Add(h.Issue(1)[0].String())
	f.Add("toucan1~a~b~c~1~2~3~AAAAAAAAAAAAAAAAAAAAAA")
	f.Add("order-4711")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseKey(text)
		if err != nil {
			return
		}
		if k.String() != text || len(text) > MaxKeyBytes || !isPrintable(text) {
			t.Errorf("%q parsed to %q", text, k.String())
		}
		if _, run := h.Begin(k).(Run); run && k.Sequence != 1 {
			t.Errorf("home runs a key that it did not issue: %q", text)
		}
	})
}

func TestHomeDecisions(t *testing.T) {
	unknown := Unknown{Reason: toucancall.ReasonKeyUnknown}
	refused := Refused{Reason: toucancall.ReasonKeyRefused}
	tests := []struct {
		name string
		do   func(h *Home, k Key, clock *toucanclock.Manual)
		want Decision
	}{
		{"unused", func(*Home, Key, *toucanclock.Manual) {}, Run{}},
		{"running", func(h *Home, k Key, _ *toucanclock.Manual) { h.Begin(k) }, Join{}},
		{"done", func(h *Home, k Key, _ *toucanclock.Manual) { h.Begin(k); h.Finish(k, answeredWith("a")) }, Replay{answeredWith("a")}},
		{"too_large_to_store", func(h *Home, k Key, _ *toucanclock.Manual) {
			h.Begin(k)
			h.Finish(k, answeredWith(strings.Repeat("a", DefaultAnswerBytes)))
		}, Unknown{Reason: toucancall.ReasonAnswerForgotten}},
		{"run_refused_by_backend", func(h *Home, k Key, _ *toucanclock.Manual) {
			h.Begin(k)
			h.Finish(k, Answer{Outcome: toucancall.NotRun})
		}, refused},
		{"refused", func(h *Home, k Key, _ *toucanclock.Manual) { h.Refuse(k) }, refused},
		{"refused_while_running", func(h *Home, k Key, _ *toucanclock.Manual) { h.Begin(k); h.Refuse(k) }, Join{}},
		{"expired", func(_ *Home, _ Key, c *toucanclock.Manual) { c.Advance(KeyTTL) }, unknown},
		{"refused_then_expired", func(h *Home, k Key, c *toucanclock.Manual) { h.Refuse(k); c.Advance(KeyTTL) }, unknown},
		{"sealed", func(h *Home, _ Key, _ *toucanclock.Manual) { h.Seal() }, Refused{Reason: toucancall.ReasonLeaving}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h, clock := newTestHome(t)
			k := h.Issue(1)[0]
			tt.do(h, k, clock)
			is.Equal(h.Begin(k), tt.want)
		})
	}
}

// Guards against a new process at the address of an earlier one that runs a key which
// the earlier one issued.
func TestHomeOfAnotherIncarnationDoesNotRun(t *testing.T) {
	is := is.New(t)
	h, clock := newTestHome(t)
	id := testIdentity
	id.Incarnation++
	other, err := NewHome(id, testSecret, clock)
	is.NoErr(err)
	is.Equal(other.Begin(h.Issue(1)[0]), Unknown{Reason: toucancall.ReasonKeyUnknown})
}

// Guards against a run that starts after the process was paused for longer than
// KeyTTL.
func TestConfirmAfterPause(t *testing.T) {
	is := is.New(t)
	h, clock := newTestHome(t)
	k := h.Issue(1)[0]
	is.Equal(h.Begin(k), Run{})
	is.True(h.Confirm(k))
	clock.Advance(KeyTTL)
	is.True(!h.Confirm(k))
}

type settableClock struct{ now time.Time }

func (c *settableClock) Now() time.Time { return c.now }

// Guards against keys that expire too late because the wall clock was set forward and
// then back.
func TestExpirySurvivesClockSteps(t *testing.T) {
	is := is.New(t)
	clock := &settableClock{now: testStart}
	h, err := NewHome(testIdentity, testSecret, clock)
	is.NoErr(err)
	clock.now = testStart.Add(24 * time.Hour)
	k := h.Issue(1)[0]
	clock.now = testStart
	is.True(h.Issue(1) != nil)
	clock.now = testStart.Add(KeyTTL)
	is.Equal(h.Begin(k), Unknown{Reason: toucancall.ReasonKeyUnknown})
}

// Guards against memory that grows without bound with the number of requested keys or
// of answers.
func TestHomeIsBounded(t *testing.T) {
	is := is.New(t)
	h, clock := newTestHome(t, WithMaxKeys(1500), WithAnswerBytes(10_000))
	keys := slices.Concat(h.Issue(1<<20), h.Issue(1<<20))
	is.Equal(len(keys), 1500)
	is.Equal(len(h.Issue(1)), 0)
	for _, k := range keys {
		h.Begin(k)
		h.Finish(k, answeredWith(strings.Repeat("a", 500)))
		is.True(h.answers.usedBytes <= 10_000)
	}
	is.Equal(h.Begin(keys[0]), Unknown{Reason: toucancall.ReasonAnswerForgotten})
	is.Equal(h.Begin(keys[1499]), Replay{answeredWith(strings.Repeat("a", 500))})
	clock.Advance(KeyTTL)
	is.Equal(len(h.Issue(1000)), 1000)
	is.Equal(h.answers.usedBytes, 0)
	is.Equal(len(h.answers.byKey), 0)
	is.Equal(len(h.states.chunks), 1)
}

func newTestSeal(first, span uint64, bits []byte) Seal {
	s := Seal{Identity: testIdentity, First: first, Next: first + span}
	for i := range span {
		if int(i/8) < len(bits) && bits[i/8]&(1<<(i%8)) != 0 {
			s.add(first + i)
		}
	}
	return s
}

func FuzzSealRoundTrip(f *testing.F) {
	f.Add(uint64(1), uint16(40), []byte{0xff, 0x00, 0x55, 0x01})
	f.Add(uint64(99), uint16(3000), []byte("toucan"))
	f.Fuzz(func(t *testing.T, first uint64, span uint16, bits []byte) {
		s := newTestSeal(first>>1, uint64(span), bits)
		decoded, err := DecodeSeal(s.Encode())
		if err != nil || !reflect.DeepEqual(decoded, s) {
			t.Fatalf("%+v was decoded as %+v: %v", s, decoded, err)
		}
		for i := range uint64(span) {
			want := int(i/8) < len(bits) && bits[i/8]&(1<<(i%8)) != 0
			if decoded.Started(s.First+i) != want {
				t.Fatalf("sequence %d: want started=%v", s.First+i, want)
			}
		}
	})
}

func FuzzDecodeSeal(f *testing.F) {
	f.Add(newTestSeal(5, 16, []byte{0x0f, 0xa5}).Encode())
	f.Add([]byte(sealMagic))
	f.Fuzz(func(t *testing.T, record []byte) {
		s, err := DecodeSeal(record)
		if err != nil {
			return
		}
		if decoded, err := DecodeSeal(s.Encode()); err != nil || !reflect.DeepEqual(decoded, s) {
			t.Fatalf("%+v was decoded as %+v: %v", s, decoded, err)
		}
	})
}

// Guards against a corrupt seal that shows a key that ran as one that never started.
func TestCorruptSealIsRejected(t *testing.T) {
	is := is.New(t)
	record := newTestSeal(1, 64, []byte{0xff, 0x0f}).Encode()
	for i := range record {
		corrupt := slices.Clone(record)
		corrupt[i] ^= 1 << rand.New(rand.NewPCG(1, uint64(i))).IntN(8)
		_, err := DecodeSeal(corrupt)
		is.True(err != nil)
	}
}

func TestSealDecidesRetries(t *testing.T) {
	is := is.New(t)
	h, _ := newTestHome(t)
	keys := h.Issue(4)
	h.Begin(keys[0])
	h.Begin(keys[1])
	h.Finish(keys[1], answeredWith("a"))
	h.Refuse(keys[2])
	seal, err := DecodeSeal(h.Seal().Encode())
	is.NoErr(err)
	unknown := Unknown{Reason: toucancall.ReasonKeyUnknown}
	notRun := Refused{Reason: toucancall.ReasonLeaving}
	is.Equal(seal.Decide(keys[0]), unknown)
	is.Equal(seal.Decide(keys[1]), unknown)
	is.Equal(seal.Decide(keys[2]), notRun)
	is.Equal(seal.Decide(keys[3]), notRun)
	is.Equal(h.Issue(1), nil)
}

// Guards against a second value for one path under one session and against a key that
// expires after the session ends.
func TestLeaseBindsOncePerPath(t *testing.T) {
	is := is.New(t)
	h, _ := newTestHome(t)
	keys := h.Issue(2)
	var l Lease
	_, _, ok := l.Bind("p", keys[0], 0)
	is.True(!ok)
	l.Open("s", 0)
	_, value, ok := l.Bind("p", keys[0], Stamp(SessionMaxAge))
	is.True(ok)
	is.Equal(value, keys[0].String())
	_, value, _ = l.Bind("p", keys[1], 0)
	is.Equal(value, keys[0].String())
	_, _, ok = l.Bind("q", keys[1], Stamp(SessionMaxAge)+1)
	is.True(!ok)
}

// Guards against constants with which a claim expires before its issued key if the
// clocks of the nodes run at three quarters of their rate, as they do in the history
// checks.
func TestClaimsOutliveKeysOnSlowClocks(t *testing.T) {
	is := is.New(t)
	is.True((SessionMaxAge+KeyTTL)*4/3 <= SessionTTL)
	is.Equal(SessionTTL-SessionMaxAge-KeyTTL, 20*time.Minute) // doc.go and docs/ONCE.md state this value
}

// Guards against a second value for a path under one session, which the KV would
// accept. It could come about when two attempts share a session or when an attempt
// drops a session that is no longer in use.
func TestAttemptsShareLease(t *testing.T) {
	is := is.New(t)
	var l Lease
	l.Open("s1", 1)
	_, first, ok := l.Bind("claim/a", Key{Service: "ordini", Sequence: 1}, 2)
	is.True(ok)
	l.Open("s1", 3) // the result of the same OpenSession, seen by another attempt
	_, again, _ := l.Bind("claim/a", Key{Service: "ordini", Sequence: 2}, 4)
	is.Equal(again, first)
	session, opened := l.Current()
	is.Equal(session, "s1")
	is.Equal(opened, Stamp(1))
	l.Drop("s0")
	_, _, ok = l.Bind("claim/a", Key{Service: "ordini", Sequence: 2}, 4)
	is.True(ok) // the ended session is not the one in use
	l.Drop("s1")
	_, _, ok = l.Bind("claim/a", Key{Service: "ordini", Sequence: 2}, 4)
	is.True(!ok)
}
