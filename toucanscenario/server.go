package toucanscenario

import (
	"time"

	"toucanhaven/toucancall"
)

// condition is how a fake backend server behaves at a moment.
type condition struct {
	slow        float64 // factor on own time; 0 means 1
	failing     bool    // breaks off every answer quickly
	reportsIdle bool    // reports load 0 whatever it runs
	sheds       bool    // refuses calls beyond its slots instead of queueing them
}

// failTime is how long a failing backend server takes to break off an answer.
const failTime = time.Millisecond

// server is a fake backend server with a fixed number of slots and a queue in
// front of them that it does not report.
type server struct {
	sim       *sim
	node      *node
	slots     int
	maxCalls  int
	condition func(at time.Duration) condition
	busy      int
	queue     []*attempt
}

// accept takes a call, or refuses it as not run.
func (v *server) accept(a *attempt) {
	now := v.condition(v.sim.now)
	switch {
	case now.failing:
		v.sim.after(failTime, func() { v.node.ended(a, result{outcome: toucancall.Failed}) })
	case v.busy+len(v.queue) >= v.maxCalls, now.sheds && v.busy >= v.slots:
		v.node.ended(a, result{outcome: toucancall.NotRun, reason: toucancall.ReasonBackendRefused})
	case v.busy < v.slots:
		v.run(a)
	default:
		v.queue = append(v.queue, a)
	}
}

// run does half of the own work, then the child call, then the other half.
func (v *server) run(a *attempt) {
	v.busy++
	a.running = true
	a.ran = true
	v.work(a, func() {
		child := a.call.position + 1
		if child >= len(a.call.request.class.Path) {
			v.work(a, func() { v.end(a, result{outcome: toucancall.Answered, ok: true}) })
			return
		}
		begun := v.sim.now
		v.sim.childCall(v.node, a, child, func(ok bool) {
			if a.over {
				return
			}
			a.childTime += v.sim.now - begun
			if !ok {
				v.end(a, result{outcome: toucancall.Answered})
				return
			}
			v.work(a, func() { v.end(a, result{outcome: toucancall.Answered, ok: true}) })
		})
	})
}

func (v *server) work(a *attempt, next func()) {
	d := drawOwnTime(v.sim.rng, v.node.service.OwnTime, max(v.condition(v.sim.now).slow, 1)/2)
	begun := v.sim.now
	a.workBegun = begun
	v.sim.after(d, func() {
		if a.over {
			return
		}
		a.workBegun = -1
		a.call.request.spend(v.sim, d)
		next()
	})
}

func (v *server) end(a *attempt, r result) {
	v.release(a)
	v.node.ended(a, r)
}

// cancel stops a call whose caller has left and frees its slot.
func (v *server) cancel(a *attempt) {
	if a.running && a.workBegun >= 0 {
		a.call.request.spend(v.sim, v.sim.now-a.workBegun)
	}
	if a.running {
		v.release(a)
	}
	a.over = true
}

func (v *server) release(a *attempt) {
	a.over, a.running = true, false
	v.busy--
	for v.busy < v.slots && len(v.queue) > 0 {
		next := v.queue[0]
		v.queue = v.queue[1:]
		if !next.over {
			v.run(next)
		}
	}
}
