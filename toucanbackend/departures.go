package toucanbackend

import "slices"

// maxDepartures bounds the departures that a runner remembers.
const maxDepartures = 16

// departures are the starts of backend servers that announced their departure, oldest
// first.
type departures []start

// start identifies one start of a backend server.
type start struct {
	instance string
	born     int64
}

func (d departures) has(instance string, born int64) bool {
	return slices.Contains(d, start{instance, born})
}

// with returns the departures with one added. It drops the oldest ones above
// maxDepartures.
func (d departures) with(instance string, born int64) departures {
	if d.has(instance, born) {
		return d
	}
	d = append(slices.Clone(d), start{instance, born})
	return d[max(0, len(d)-maxDepartures):]
}
