package toucanmesh_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// BenchmarkRequest sends sequential requests on a persistent connection, to the
// backend server beside the node and through another node.
func BenchmarkRequest(b *testing.B) {
	for _, remote := range []bool{false, true} {
		b.Run(fmt.Sprintf("remote=%v", remote), func(b *testing.B) {
			s := newDeployment(b, safeRoute())
			service := "orders"
			if remote {
				service = "stock"
				s.startNode("home", "orders")
			}
			entry := s.startNode("entry", service)
			entry.awaitServed("/read/")
			c, err := net.Dial("tcp", entry.settings.CallerAddress)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := io.WriteString(c, requestText("GET", "/read/1", fmt.Sprintf("b%d", i), 3*time.Second, "")); err != nil {
					b.Fatal(err)
				}
				if got := readResponse(r); got.status != 200 {
					b.Fatal(got)
				}
			}
		})
	}
}
