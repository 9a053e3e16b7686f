package toucanserve

import "sync/atomic"

// maxIdleWorkers bounds the goroutines of a workerPool that wait for work.
const maxIdleWorkers = 8

// workerPool runs functions on goroutines that it uses again. A new goroutine would grow
// its small stack several times while it handles a request, which costs more than the
// rest of its start.
type workerPool struct {
	work chan func()
	idle atomic.Int32
	stop chan struct{} // closed by close
}

func newWorkerPool() *workerPool {
	return &workerPool{work: make(chan func()), stop: make(chan struct{})}
}

// run runs f on an idle worker or a new one. It does not wait for f.
func (p *workerPool) run(f func()) {
	select {
	case p.work <- f:
	default:
		go p.runWorker(f)
	}
}

// runWorker runs f and then the functions that are passed on to it, until enough other
// workers are idle or the pool is closed.
func (p *workerPool) runWorker(f func()) {
	for {
		f()
		if p.idle.Add(1) > maxIdleWorkers {
			p.idle.Add(-1)
			return
		}
		select {
		case f = <-p.work:
			p.idle.Add(-1)
		case <-p.stop:
			return
		}
	}
}

// close ends the idle workers. Functions that run go on.
func (p *workerPool) close() { close(p.stop) }
