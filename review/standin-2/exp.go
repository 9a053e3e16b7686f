package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["memory"] = memoryCase
}

func (n *node) hwm() string {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for _, l := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(l, "VmHWM") {
			return l
		}
	}
	return "?"
}

func memoryCase(rec *record, trouble bool) int {
	p := newPair(rec, 2)
	go p.x.beat(p.stop)
	waitFor("requests are served", 10*time.Second, func() bool { return p.others[0].send("POST", "/puka111/2f", time.Second, nil).status == 200 })
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	for _, mb := range []int{1, 4, 9, 14, 25, 50} {
		body := bytes.Repeat([]byte("x"), mb<<20)
		var mu sync.Mutex
		st := map[int]int{}
		for i := range 30 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := p.others[i%2].send("POST", "/puka111/2f", 4*time.Second, body)
				mu.Lock()
				st[a.status]++
				mu.Unlock()
			}()
		}
		wg.Wait()
		fmt.Println(mb, st, "home", p.home.hwm(), "e0", p.others[0].hwm(), "e1", p.others[1].hwm())
		time.Sleep(time.Second)
	}
	return held
}

func init() { cases["slow"] = slowCase }

func slowCase(rec *record, trouble bool) int {
	p := newPair(rec, 2)
	go p.x.beat(p.stop)
	p.x.respBytes = 30000
	p.x.slots = 331
	waitFor("requests are served", 10*time.Second, func() bool { return p.others[0].send("POST", "/puka111/2f", time.Second, nil).status == 200 })
	time.Sleep(2 * time.Second)
	conns := 160
	if v := os.Getenv("CONNS"); v != "" {
		fmt.Sscan(v, &conns)
	}
	var cs []net.Conn
	for range conns {
		d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
		}}
		c, err := d.Dial("tcp", p.others[0].caller)
		if err != nil {
			cannotRun("%v", err)
		}
		cs = append(cs, c)
	}
	for round := range 32 {
		for _, c := range cs {
			fmt.Fprintf(c, "GET /leny950/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", host, newID())
		}
		time.Sleep(60 * time.Millisecond)
		if round%8 == 7 {
			fmt.Println(round, "e0", p.others[0].hwm(), "runs", len(p.x.allRuns()))
		}
	}
	var wg sync.WaitGroup
	for _, c := range cs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			buf := make([]byte, 512)
			for range 80 {
				time.Sleep(100 * time.Millisecond)
				if _, err := c.Read(buf); err != nil {
					return
				}
			}
		}()
	}
	wg.Wait()
	fmt.Println("end", "home", p.home.hwm(), "e0", p.others[0].hwm(), "runs", len(p.x.allRuns()))
	return held
}

func init() { cases["upload"] = uploadCase }

func uploadCase(rec *record, trouble bool) int {
	entries, mb := 6, 40
	if v := os.Getenv("ENTRIES"); v != "" {
		fmt.Sscan(v, &entries)
	}
	if v := os.Getenv("MB"); v != "" {
		fmt.Sscan(v, &mb)
	}
	p := newPair(rec, entries)
	go p.x.beat(p.stop)
	waitFor("requests are served", 10*time.Second, func() bool { return p.others[0].send("POST", "/puka111/2f", time.Second, nil).status == 200 })
	time.Sleep(2 * time.Second)
	body := bytes.Repeat([]byte("x"), mb<<20)
	for range 3 {
		var wg sync.WaitGroup
		var mu sync.Mutex
		st := map[int]int{}
		for i := range entries {
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := p.others[i].send("POST", "/puka111/2f", 5*time.Second, body)
				mu.Lock()
				st[a.status]++
				mu.Unlock()
			}()
		}
		wg.Wait()
		fmt.Println(mb, st, "home", p.home.hwm(), "e0", p.others[0].hwm(), "e1", p.others[1].hwm())
		time.Sleep(2 * time.Second)
	}
	return held
}
