package toucancaller

import (
	"context"
	"fmt"
	"log"
	"time"

	"toucanhaven/toucancall"
)

// An order is placed at most once. The response to the first attempt is lost; the
// retry gets the answer of the only run.
func Example() {
	n := startTestNode(newTestHome(), respondUnknown, respondAnswered("order 4711 placed"))
	defer n.Close()
	client, err := New([]string{n.address()}, WithTenant("padana-nord"), WithBackoff(time.Millisecond))
	if err != nil {
		log.Fatal(err)
	}
	a, err := client.Do(context.Background(), Request{
		Service: "ordini", Method: "POST", Path: "/orders", Body: []byte("motor"),
		AtMostOnce: true, Timeout: 2 * time.Second,
	})
	if err != nil {
		log.Fatal(err)
	}
	switch a := a.(type) {
	case Answered:
		fmt.Printf("%d %s\n", a.Status, a.Body)
	case Refused:
		fmt.Println("not placed:", a.Reason)
	case Failed, Unknown:
		fmt.Println("look the order up before placing it again")
	}
	// Output: 200 order 4711 placed
}

// A refused request did not run and never will, so the caller may send the order in
// another way.
func ExampleClient_Do_refused() {
	n := startTestNode(newTestHome(), respondOutcome(toucancall.NotRun, toucancall.ReasonOverload, 503))
	defer n.Close()
	client, err := New([]string{n.address()}, WithRetries(0))
	if err != nil {
		log.Fatal(err)
	}
	a, err := client.Do(context.Background(), Request{Service: "ordini", Path: "/parts"})
	fmt.Printf("%T %v %v\n", a, a, err)
	// Output: toucancaller.Refused {overload 0s} <nil>
}
