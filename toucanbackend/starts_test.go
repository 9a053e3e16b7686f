package toucanbackend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// startsStep is a message of a server, or the answer to a health check that begins at once.
type startsStep struct {
	after    time.Duration // since the step before
	state    State         // of a heartbeat; empty for other steps
	left     bool          // a departure
	recorded bool          // another node has a record of the start, and this node has just started
	healthy  string        // id in an answer with status 200
	failing  string        // id in an answer with status 503
	start    start
	seq      uint64

	verdict Verdict // of a heartbeat
	use     string  // id of the server in use after the step; empty for none
}

func heartbeat(seq uint64, of start, v Verdict, use string) startsStep {
	return startsStep{state: Ready, seq: seq, start: of, verdict: v, use: use}
}

func draining(seq uint64, of start, v Verdict, use string) startsStep {
	return startsStep{state: Draining, seq: seq, start: of, verdict: v, use: use}
}

func departure(of start, use string) startsStep { return startsStep{left: true, start: of, use: use} }

func healthCheck(id, use string) startsStep { return startsStep{healthy: id, use: use} }

func failedHealthCheck(id, use string) startsStep { return startsStep{failing: id, use: use} }

func (s startsStep) later(d time.Duration) startsStep {
	s.after = d
	return s
}

// Which start of a server is in use must follow from what has departed, the start times and
// what the server shows of itself, in whichever order the messages arrive.
func TestStarts(t *testing.T) {
	const interval = 1500 * time.Millisecond
	first, second, third := start{"i-1", 100}, start{"i-1", 200}, start{"i-1", 300}
	other, back, otherBack := start{"i-2", 200}, start{"i-1", 50}, start{"i-2", 50}
	for _, tt := range []struct {
		name  string
		steps []startsStep
	}{
		{"heartbeats", []startsStep{heartbeat(1, first, Restarted, "i-1"), heartbeat(2, first, Current, "i-1"), heartbeat(2, first, Late, "i-1")}},
		{"late_draining", []startsStep{heartbeat(7, first, Restarted, "i-1"), draining(6, first, Late, "i-1")}},
		{"draining", []startsStep{heartbeat(7, first, Restarted, "i-1"), draining(8, first, Current, ""), heartbeat(9, first, Current, "")}},
		{"draining_of_recorded_start", []startsStep{{recorded: true, start: first}, healthCheck("i-1", "i-1"), draining(0, first, Current, "")}},
		{"ready_after_leaving", []startsStep{heartbeat(7, first, Restarted, "i-1"), departure(first, ""), heartbeat(9, first, Current, "")}},
		{"new_start", []startsStep{heartbeat(7, first, Restarted, "i-1"), heartbeat(1, other, Restarted, "i-2")}},
		{"new_start_same_id", []startsStep{heartbeat(7, first, Restarted, "i-1"), heartbeat(1, second, Restarted, "i-1")}},
		{"earlier_start", []startsStep{heartbeat(7, second, Restarted, "i-1"), heartbeat(99, first, Late, "i-1").later(time.Second)}},
		{"earlier_draining", []startsStep{heartbeat(7, other, Restarted, "i-2"), draining(99, first, Late, "i-2").later(time.Second)}},
		{"earlier_departure", []startsStep{heartbeat(7, other, Restarted, "i-2"), departure(first, "i-2")}},
		{"earlier_other_id", []startsStep{heartbeat(7, other, Restarted, "i-2"), heartbeat(99, first, Held, "i-2"), healthCheck("i-2", "i-2")}},
		{"clock_set_back", []startsStep{heartbeat(7, first, Restarted, "i-1"), heartbeat(1, otherBack, Held, "i-1"), healthCheck("i-2", "i-2")}},
		{"clock_set_back_silence", []startsStep{heartbeat(7, first, Restarted, "i-1"), heartbeat(3, otherBack, Restarted, "i-2").later(5 * time.Second)}},
		{"clock_set_back_no_health_check", []startsStep{heartbeat(7, first, Restarted, "i-1"), heartbeat(1, otherBack, Held, "i-1"),
			heartbeat(2, otherBack, Restarted, "i-2").later(5 * time.Second)}},
		{"clock_set_back_same_id", []startsStep{heartbeat(7, first, Restarted, "i-1"), heartbeat(1, back, Late, "i-1"), heartbeat(3, back, Restarted, "i-1").later(5 * time.Second)}},
		{"clock_set_back_after_departure", []startsStep{heartbeat(7, first, Restarted, "i-1"), departure(first, ""),
			heartbeat(1, otherBack, Held, ""), healthCheck("i-2", "i-2")}},
		{"clock_set_back_after_departure_no_health_check", []startsStep{heartbeat(7, first, Restarted, "i-1"), departure(first, ""),
			heartbeat(1, otherBack, Held, ""), heartbeat(2, otherBack, Restarted, "i-2").later(interval)}},
		{"clock_set_back_after_departure_same_id", []startsStep{heartbeat(7, first, Restarted, "i-1"), departure(first, ""),
			heartbeat(1, back, Held, ""), healthCheck("i-1", "i-1")}},
		{"clock_set_back_departure_same_id", []startsStep{heartbeat(7, first, Restarted, "i-1"), heartbeat(1, back, Late, "i-1"), departure(back, ""),
			failedHealthCheck("i-1", ""), heartbeat(8, first, Held, ""), heartbeat(9, first, Held, "").later(interval)}},
		{"restart_after_departure", []startsStep{heartbeat(7, first, Restarted, "i-1"), departure(first, ""), heartbeat(1, second, Held, ""), healthCheck("i-1", "i-1"),
			heartbeat(2, second, Current, "i-1")}},
		{"restart_after_departure_no_health_check", []startsStep{heartbeat(7, first, Restarted, "i-1"), departure(first, ""), heartbeat(1, second, Held, ""),
			heartbeat(2, second, Restarted, "i-1").later(interval)}},
		{"restart_with_other_id_after_departure", []startsStep{heartbeat(7, first, Restarted, "i-1"), departure(first, ""), heartbeat(1, other, Restarted, "i-2")}},
		{"departure_of_unheard_start", []startsStep{heartbeat(7, first, Restarted, "i-1"), departure(second, ""), heartbeat(8, first, Held, ""),
			failedHealthCheck("i-1", ""), heartbeat(9, first, Held, "").later(interval), heartbeat(1, second, Current, "")}},
		{"departure_of_unheard_start_other_id", []startsStep{heartbeat(7, first, Restarted, "i-1"), departure(other, ""), heartbeat(8, first, Held, ""),
			failedHealthCheck("i-2", ""), heartbeat(9, first, Held, "").later(interval)}},
		{"earlier_start_after_departure", []startsStep{heartbeat(7, first, Restarted, "i-1"), heartbeat(1, second, Restarted, "i-1"), departure(second, ""),
			heartbeat(8, first, Held, "").later(20 * time.Second), failedHealthCheck("i-1", ""), heartbeat(9, first, Held, "").later(2 * time.Minute)}},
		{"earlier_starts_after_departure_no_health_check", []startsStep{heartbeat(7, third, Restarted, "i-1"), departure(third, ""),
			heartbeat(8, first, Held, ""), heartbeat(9, first, Held, "").later(interval), heartbeat(8, second, Held, ""), heartbeat(9, second, Held, "").later(interval)}},
		{"heartbeats_around_departure", []startsStep{heartbeat(7, first, Restarted, "i-1"), departure(first, ""), heartbeat(1, otherBack, Held, ""),
			departure(second, "").later(time.Second), heartbeat(2, otherBack, Held, "").later(time.Millisecond), heartbeat(3, otherBack, Restarted, "i-2").later(interval)}},
		{"late_departure_of_earlier_start", []startsStep{heartbeat(7, first, Restarted, "i-1"), heartbeat(1, second, Restarted, "i-1"), departure(first, ""),
			healthCheck("i-1", "i-1"), departure(first, "i-1"), heartbeat(2, second, Current, "i-1")}},
		{"late_departure_of_unheard_later_start", []startsStep{heartbeat(7, first, Restarted, "i-1"), departure(other, ""), heartbeat(8, first, Held, ""), healthCheck("i-1", "i-1")}},
		{"repeated_departure", []startsStep{heartbeat(7, first, Restarted, "i-1"), departure(first, ""), heartbeat(1, second, Held, ""), healthCheck("i-1", "i-1"), departure(first, "i-1")}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := starts{heartbeat: interval}
			now := time.Unix(1000, 0)
			for i, step := range tt.steps {
				now = now.Add(step.after)
				verdict := Verdict("")
				switch {
				case step.recorded:
					s.unproven = true
					s.recall(Heartbeat{Instance: step.start.instance, Born: step.start.born, State: Ready})
				case step.left:
					s.markLeft(step.start, now)
				case step.healthy != "":
					is.True(s.takeCheck())
					s.prove(healthAnswer{step.healthy, "", now}, now)
				case step.failing != "":
					is.True(s.takeCheck())
					s.failing = healthAnswer{step.failing, "", now}
				default:
					verdict = s.observe(Heartbeat{Instance: step.start.instance, Born: step.start.born, State: step.state, Sequence: step.seq}, now)
				}
				use := ""
				if s.server.Serving() {
					use = s.server.Instance
				}
				if verdict != step.verdict || use != step.use {
					t.Errorf("step %d: verdict %q, server %q in use, want %q and %q", i, verdict, use, step.verdict, step.use)
				}
			}
		})
	}
}

// A health check that began before a departure shows nothing about it.
func TestHealthCheckBeforeDepartureProvesNothing(t *testing.T) {
	is := is.New(t)
	s := starts{}
	now := time.Unix(1000, 0)
	s.observe(Heartbeat{Instance: "i-1", Born: 100, State: Ready, Sequence: 7}, now)
	s.markLeft(start{"i-1", 200}, now.Add(time.Second))
	s.observe(Heartbeat{Instance: "i-1", Born: 100, State: Ready, Sequence: 8}, now.Add(2*time.Second))
	s.prove(healthAnswer{"i-1", "", now.Add(time.Second / 2)}, now.Add(2*time.Second))
	is.True(!s.server.Serving())
	s.prove(healthAnswer{"i-1", "", now.Add(2 * time.Second)}, now.Add(3*time.Second))
	is.True(s.server.Serving())
}

// A server that moved to another address of the VM is in use at once, whatever its start time.
func TestServerAtAnotherAddress(t *testing.T) {
	is := is.New(t)
	s := starts{}
	now := time.Unix(1000, 0)
	s.observe(Heartbeat{Instance: "i-1", Born: 100, State: Ready, Sequence: 7, Address: "127.0.0.1:1"}, now)
	is.Equal(s.observe(Heartbeat{Instance: "i-1", Born: 50, State: Ready, Sequence: 1, Address: "127.0.0.1:2"}, now), Restarted)
	is.Equal(s.server.Address, "127.0.0.1:2")
}
