package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// slowReader reads from a connection at a steady rate, if it has one.
type slowReader struct {
	net.Conn
	bytesPerSecond int
}

const (
	// readStep is the time between the reads of a slow reader.
	readStep = 50 * time.Millisecond
	// receiveBytes is the size of its receive buffer.
	receiveBytes = 64 << 10
)

func (r slowReader) Read(p []byte) (int, error) {
	if r.bytesPerSecond == 0 {
		return r.Conn.Read(p)
	}
	time.Sleep(readStep)
	return r.Conn.Read(p[:min(len(p), r.bytesPerSecond*int(readStep/time.Millisecond)/1000)])
}

// slowReaders sends two requests on each of many connections of one machine. The clients read the
// second answer at a steady rate, their share of the link of the machine, at which they have it
// well before their deadline. Without the trouble they ask one after the other.
func slowReaders(rec *record, trouble bool) (v verdict, err error) {
	const (
		clients     = 80
		answerBytes = 800_000
		rate        = grownLinkMbps * 1_000_000 / 8 / clients // bytes a second
		spacing     = 12500 * time.Microsecond                // between the requests
		calmSpacing = 150 * time.Millisecond                  // the same without the trouble
		deadline    = 5 * time.Second
		allowed     = 3
	)
	routes := []route{{"catalogo", "vetrina", "safe", 5, 1.2, 1}}
	f, err := startFleet(rec, grownMemoryMB, []service{{name: "vetrina", backends: 4, slots: 71, bodyBytes: answerBytes}}, routes)
	defer f.stop()
	if err != nil {
		return v, err
	}
	time.Sleep(settle)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.limitMemory(ctx)
	m := f.machines[0]
	var mu sync.Mutex
	whole, cut, late, refused := 0, 0, 0, 0
	var wg sync.WaitGroup
	start := time.Now().Add(2 * time.Second)
	for i := range clients {
		time.Sleep(5 * time.Millisecond)
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", m.caller, connectTimeout)
			if err != nil {
				rec.line("not sent", "client", i, "err", err)
				return
			}
			defer c.Close()
			c.(*net.TCPConn).SetReadBuffer(receiveBytes)
			for n := range 2 {
				q := request{id: fmt.Sprintf("c%d-%d", i, n), method: http.MethodGet, path: fmt.Sprintf("/catalogo/%d/x", 20), deadline: deadline}
				reader := slowReader{Conn: c}
				if n == 1 {
					reader.bytesPerSecond = rate
					pause := spacing
					if !trouble {
						pause = calmSpacing
					}
					time.Sleep(time.Until(start.Add(time.Duration(i) * pause)))
				}
				began := time.Now()
				c.SetDeadline(began.Add(2 * deadline))
				c.Write(q.bytes())
				status, got, err := readAnswer(reader)
				took := time.Since(began)
				rec.line("answered", "id", q.id, "status", status, "bytes", got, "of", answerBytes, "took", took.Round(time.Millisecond), "err", err)
				mu.Lock()
				switch {
				case n == 0:
				case status != http.StatusOK && err == nil:
					refused++
				case err == nil && took <= deadline:
					whole++
				case took > deadline:
					late++
				default:
					cut++
				}
				mu.Unlock()
				if err != nil || status != http.StatusOK {
					return
				}
			}
		})
	}
	wg.Wait()
	cancel()
	f.watchers.Wait()
	for id, list := range f.runs.byID() {
		rec.line("run", "id", id, "backend", list[0].backend, "ended", rec.at(list[0].ended), "how", list[0].how)
	}
	return verdict{cut > allowed, fmt.Sprintf("of %d answers on kept connections, %d whole, %d cut before the deadline, %d late, %d refused; the node held %d MB at most",
		clients, whole, cut, late, refused, m.peakKB>>10)}, nil
}

// readAnswer reads a response and returns its status, 0 if there is none, and the bytes of its
// body.
func readAnswer(r io.Reader) (status int, got int64, err error) {
	resp, err := http.ReadResponse(bufio.NewReaderSize(r, receiveBytes), &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, 0, err
	}
	got, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, got, err
}
