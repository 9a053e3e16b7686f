package toucanretry

import "time"

// maxWasteClasses bounds the classes counted apart; further classes share the
// name "other".
const maxWasteClasses = 256

// Waste counts, for each class, the work done for requests that later failed.
// Its zero value is ready to use. It is not safe for concurrent use.
type Waste struct {
	classes map[string]*Work
}

// Work is the time spent on runs of one class.
type Work struct {
	Useful time.Duration
	Wasted time.Duration
}

// Add counts one run of a class.
func (w *Waste) Add(class string, spent time.Duration, useful bool) {
	if w.classes == nil {
		w.classes = make(map[string]*Work)
	}
	work := w.classes[class]
	if work == nil {
		if len(w.classes) >= maxWasteClasses {
			class = "other"
		}
		if work = w.classes[class]; work == nil {
			work = new(Work)
			w.classes[class] = work
		}
	}
	if useful {
		work.Useful += spent
		return
	}
	work.Wasted += spent
}

// Class returns the work counted for one class.
func (w *Waste) Class(class string) Work {
	if work := w.classes[class]; work != nil {
		return *work
	}
	return Work{}
}
