package toucanconfig

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// sourceWithClasses returns a class file with n classes.
func sourceWithClasses(n int) string {
	var b strings.Builder
	b.WriteString("service = \"ordini\"\n")
	for i := range n {
		fmt.Fprintf(&b, "[[class]]\nname = \"class_%d\"\nmethod = \"POST\"\npath = \"/orders/%d\"\nlatency = \"800ms\"\nsuccess = 0.9999\n", i, i)
	}
	return b.String()
}

// BenchmarkInstall measures the work of a node for one change, by the number of
// classes in the file: decode and validate the document, install it and encode it
// for a peer.
func BenchmarkInstall(b *testing.B) {
	for _, classes := range []int{2, 10, 50, 200} {
		b.Run(fmt.Sprint(classes), func(b *testing.B) {
			var d Document
			var err error
			for i := range MaxChanges {
				if d, err = d.WithChange("ordini", "anna", fmt.Sprint(i), sourceWithClasses(classes), time.Unix(0, 0)); err != nil {
					b.Fatal(err)
				}
			}
			data, err := d.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "B/document")
			b.ReportAllocs()
			for b.Loop() {
				var store Store
				d, err := Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				store.Install(d)
				if _, err := d.Encode(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against distribution costs that grow faster than the rate of changes.
// Prints the costs at the nodes of one service for several rates.
func TestChangeRate(t *testing.T) {
	const members, entries, seconds = 5, 50, 60
	var messagesForOne float64
	for _, perMinute := range []int{1, 6, 30, 120} {
		s := newSim(1, members, entries, correct)
		s.runUntil(10 * time.Second)
		s.pushes, s.fetches, s.bytes = 0, 0, 0
		var applyNext func(revision uint64)
		applyNext = func(revision uint64) {
			if revision >= uint64(perMinute) {
				return
			}
			s.nodes[revision%members].apply(revision, fmt.Sprint(revision), nil)
			s.schedule(seconds*time.Second/time.Duration(perMinute), func() { applyNext(revision + 1) })
		}
		started := time.Now()
		applyNext(0)
		s.runUntil(10*time.Second + seconds*time.Second + 10*time.Second)
		cost := time.Since(started)
		d, _ := s.nodes[0].store.Get(simService)
		messages := float64(s.pushes+s.fetches) / float64(members+entries)
		t.Logf("changes_per_minute=%d installed=%d messages_per_node=%.1f document_bytes_per_node=%d processor_time_per_node=%v",
			perMinute, d.Revision(), messages, s.bytes/(members+entries), cost/(members+entries))
		if d.Revision() != uint64(perMinute) {
			t.Errorf("%d of %d changes in force", d.Revision(), perMinute)
		}
		if messagesForOne == 0 {
			messagesForOne = messages
		}
		if messages > 1.5*messagesForOne*float64(perMinute) {
			t.Errorf("%.1f messages a node for %d changes, %.1f for one", messages, perMinute, messagesForOne)
		}
	}
}
