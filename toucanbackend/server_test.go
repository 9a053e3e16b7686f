package toucanbackend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestObserve(t *testing.T) {
	now := time.Unix(1000, 0)
	known, _ := Server{}.Observe(Heartbeat{Instance: "i-1", State: Ready, Sequence: 7, Born: 100}, now)
	left, _ := known.MarkLeft("i-1", 100)
	for _, tt := range []struct {
		name    string
		server  Server
		h       Heartbeat
		after   time.Duration
		verdict Verdict
		serving bool
	}{
		{"first", Server{}, Heartbeat{Instance: "i-1", State: Ready, Sequence: 1, Born: 5}, 0, Restarted, true},
		{"next", known, Heartbeat{Instance: "i-1", State: Ready, Sequence: 8, Born: 100}, 0, Current, true},
		{"late", known, Heartbeat{Instance: "i-1", State: Draining, Sequence: 6, Born: 100}, 0, Late, true},
		{"draining", known, Heartbeat{Instance: "i-1", State: Draining, Sequence: 8, Born: 100}, 0, Current, false},
		{"ready_after_leaving", left, Heartbeat{Instance: "i-1", State: Ready, Sequence: 9, Born: 100}, 0, Current, false},
		{"new_start_same_id", left, Heartbeat{Instance: "i-1", State: Ready, Sequence: 1, Born: 200}, 0, Restarted, true},
		{"new_start", known, Heartbeat{Instance: "i-2", State: Ready, Sequence: 1, Born: 200}, 0, Restarted, true},
		{"earlier_start", known, Heartbeat{Instance: "i-0", State: Draining, Sequence: 99, Born: 50}, time.Second, Late, true},
		{"clock_set_back", known, Heartbeat{Instance: "i-2", State: Ready, Sequence: 3, Born: 50}, 5 * time.Second, Restarted, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, verdict := tt.server.Observe(tt.h, now.Add(tt.after))
			is.Equal(verdict, tt.verdict)
			is.Equal(got.Serving(), tt.serving)
		})
	}
}

// A departure that names another server or another start must be ignored.
func TestMarkLeftOfAnotherServer(t *testing.T) {
	is := is.New(t)
	known, _ := Server{}.Observe(Heartbeat{Instance: "i-1", State: Ready, Sequence: 7, Born: 100}, time.Unix(1000, 0))
	for _, tt := range []struct {
		instance string
		born     int64
		verdict  Verdict
	}{{"i-0", 0, Late}, {"i-1", 50, Late}, {"i-1", 0, Current}, {"i-1", 100, Current}} {
		_, verdict := known.MarkLeft(tt.instance, tt.born)
		is.Equal(verdict, tt.verdict)
	}
}
