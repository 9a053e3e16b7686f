package toucanclass

import (
	"fmt"
	"testing"
)

// BenchmarkMatch is what an entry and the node beside a backend server each spend
// on the class of a call, by classes in the file.
func BenchmarkMatch(b *testing.B) {
	for _, classes := range []int{2, 10, 50, 200} {
		b.Run(fmt.Sprint(classes), func(b *testing.B) {
			file := File{Service: "ordini"}
			for i := range classes {
				file.Classes = append(file.Classes, Class{Name: fmt.Sprint(i), Method: "POST", Path: fmt.Sprint("/orders/", i)})
			}
			for b.Loop() {
				file.Match("POST", "/orders/1/lines")
			}
		})
	}
}
