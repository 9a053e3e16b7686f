package toucanscenario

import (
	"time"

	"toucanhaven/toucancall"
)

// behaviour describes how a simulated backend server behaves at a point in time.
type behaviour struct {
	slowdown        float64 // factor on the service time; 0 means 1
	failing         bool    // aborts every response after failureDelay
	reportsIdle     bool    // reports load 0 regardless of its running calls
	refusesWhenBusy bool    // refuses calls beyond its slots instead of queueing them
}

// failureDelay is the time after which a failing backend server aborts a
// response.
const failureDelay = time.Millisecond

// server is a simulated backend server with a fixed number of slots and a queue
// in front of them that it does not report.
type server struct {
	sim         *simulation
	node        *node
	slots       int
	maxCalls    int // limit on running and queued calls
	behaviourAt func(at time.Duration) behaviour
	busySlots   int
	queue       []*attempt
}

// acceptCall runs or queues a call, or refuses it as not run.
func (v *server) acceptCall(a *attempt) {
	current := v.behaviourAt(v.sim.now)
	switch {
	case current.failing:
		v.sim.runAfter(failureDelay, func() { v.node.finishAttempt(a, result{outcome: toucancall.Failed}) })
	case v.busySlots+len(v.queue) >= v.maxCalls, current.refusesWhenBusy && v.busySlots >= v.slots:
		v.node.finishAttempt(a, result{outcome: toucancall.NotRun, reason: toucancall.ReasonBackendRefused})
	case v.busySlots < v.slots:
		v.runCall(a)
	default:
		v.queue = append(v.queue, a)
	}
}

// runCall does half of the server's own work, then makes the child call, then
// does the other half.
func (v *server) runCall(a *attempt) {
	v.busySlots++
	a.occupiesSlot = true
	a.reachedSlot = true
	v.doWork(a, func() {
		child := a.call.position + 1
		if child >= len(a.call.request.class.Path) {
			v.doWork(a, func() { v.endCall(a, result{outcome: toucancall.Answered, succeeded: true}) })
			return
		}
		childStart := v.sim.now
		v.sim.startChildCall(v.node, a, child, func(ok bool) {
			if a.endedAtServer {
				return
			}
			a.childTime += v.sim.now - childStart
			if !ok {
				v.endCall(a, result{outcome: toucancall.Answered})
				return
			}
			v.doWork(a, func() { v.endCall(a, result{outcome: toucancall.Answered, succeeded: true}) })
		})
	})
}

// doWork does half of the server's own work and then calls next.
func (v *server) doWork(a *attempt, next func()) {
	d := drawServiceTime(v.sim.rng, v.node.service.MeanServiceTime, max(v.behaviourAt(v.sim.now).slowdown, 1)/2)
	start := v.sim.now
	a.workStart = start
	v.sim.runAfter(d, func() {
		if a.endedAtServer {
			return
		}
		a.workStart = -1
		a.call.request.addWork(v.sim, d)
		next()
	})
}

func (v *server) endCall(a *attempt, r result) {
	v.releaseSlot(a)
	v.node.finishAttempt(a, r)
}

// cancelCall stops a call whose caller no longer waits and frees its slot.
func (v *server) cancelCall(a *attempt) {
	if a.occupiesSlot && a.workStart >= 0 {
		a.call.request.addWork(v.sim, v.sim.now-a.workStart)
	}
	if a.occupiesSlot {
		v.releaseSlot(a)
	}
	a.endedAtServer = true
}

// releaseSlot frees the slot of a call and starts queued calls.
func (v *server) releaseSlot(a *attempt) {
	a.endedAtServer, a.occupiesSlot = true, false
	v.busySlots--
	for v.busySlots < v.slots && len(v.queue) > 0 {
		next := v.queue[0]
		v.queue = v.queue[1:]
		if !next.endedAtServer {
			v.runCall(next)
		}
	}
}
