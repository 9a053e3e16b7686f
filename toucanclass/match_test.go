package toucanclass

import (
	"fmt"
	"testing"
)

// BenchmarkMatch measures Match for files of 2 to 200 classes. The entry and the node
// beside the backend server each run Match once per call.
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
