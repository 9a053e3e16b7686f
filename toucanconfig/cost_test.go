package toucanconfig

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// costSource returns a class file with n classes.
func costSource(n int) string {
	var b strings.Builder
	b.WriteString("service = \"ordini\"\n")
	for i := range n {
		fmt.Fprintf(&b, "[[class]]\nname = \"class_%d\"\nmethod = \"POST\"\npath = \"/orders/%d\"\nlatency = \"800ms\"\nsuccess = 0.9999\n", i, i)
	}
	return b.String()
}

// BenchmarkInstall is the work of a node for one change, by classes in the file:
// decode the document, check it, put it in force and encode it for a peer.
func BenchmarkInstall(b *testing.B) {
	for _, classes := range []int{2, 10, 50, 200} {
		b.Run(fmt.Sprint(classes), func(b *testing.B) {
			var d Document
			var err error
			for i := range MaxChanges {
				if d, err = d.WithChange("ordini", "anna", fmt.Sprint(i), costSource(classes), time.Unix(0, 0)); err != nil {
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
