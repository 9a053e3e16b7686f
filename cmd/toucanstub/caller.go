package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/integrii/flaggy"

	"toucanhaven/toucancall"
	"toucanhaven/toucanresponse"
)

// caller sends requests to a node and prints one line with the outcome of each.
type caller struct {
	service, method, path, tenant, key, requestID, idPrefix string
	bodyBytes                                               int
	count, concurrency                                      int
	interval, timeout                                       time.Duration
	keys                                                    []string // one for each request; empty without a keys file
	client                                                  *http.Client

	mu            sync.Mutex
	outcomeCounts map[string]int
}

func callerCommand() command {
	c := &caller{
		method: http.MethodGet, path: "/", count: 1, concurrency: 1, timeout: 10 * time.Second,
		client: &http.Client{Transport: toucanresponse.Checked(&http.Transport{MaxIdleConnsPerHost: 1000})}, outcomeCounts: map[string]int{},
	}
	nodeFile, keysFile := "", ""
	flags := flaggy.NewSubcommand("caller")
	flags.Description = "send requests to a node and print their outcomes"
	flags.String(&nodeFile, "n", "node", "addresses file of the entry")
	flags.String(&c.service, "", "service", "service to call")
	flags.String(&c.method, "", "method", "HTTP method")
	flags.String(&c.path, "", "path", "path and query")
	flags.String(&c.tenant, "", "tenant", "tenant of the requests")
	flags.String(&c.key, "", "key", "idempotency key of the requests")
	flags.String(&keysFile, "", "keys", "file with one idempotency key a line, one for each request, which gets the id order- and its number")
	flags.String(&c.requestID, "", "request-id", "request id of the requests")
	flags.String(&c.idPrefix, "", "id-prefix", "gives each request an id of its own, which its body and its answer must carry")
	flags.Int(&c.bodyBytes, "", "body-bytes", "size of the request body")
	flags.Int(&c.count, "", "count", "number of requests")
	flags.Int(&c.concurrency, "", "concurrency", "requests in flight at the same time")
	flags.Duration(&c.interval, "", "interval", "pause of each sender between two requests")
	flags.Duration(&c.timeout, "", "timeout", "timeout of a request")
	return command{flags: flags, run: func() int {
		addresses, err := readAddresses(nodeFile)
		if err != nil {
			return fail(err)
		}
		if keysFile != "" {
			text, err := os.ReadFile(keysFile)
			if err != nil {
				return fail(err)
			}
			c.keys = strings.Fields(string(text))
			c.count = len(c.keys)
		}
		c.sendAll("http://" + addresses.Caller + c.path)
		fmt.Printf("total answered=%d not_run=%d failed=%d unknown=%d broken=%d\n", c.outcomeCounts["answered"],
			c.outcomeCounts["not_run"], c.outcomeCounts["failed"], c.outcomeCounts["unknown"], c.outcomeCounts["broken"])
		if c.outcomeCounts["answered"] != c.count {
			return exitError
		}
		return exitOK
	}}
}

// sendAll sends all requests with the set concurrency and waits until all have finished.
func (c *caller) sendAll(url string) {
	work := make(chan int)
	var wg sync.WaitGroup
	for range c.concurrency {
		wg.Go(func() {
			for i := range work {
				c.sendRequest(url, i)
				time.Sleep(c.interval)
			}
		})
	}
	for i := range c.count {
		work <- i
	}
	close(work)
	wg.Wait()
}

// sendRequest sends request i. It records the outcome broken if there is no response,
// if the response is truncated or if it answers another request.
func (c *caller) sendRequest(url string, i int) {
	key, requestID := c.key, c.requestID
	if len(c.keys) > 0 {
		key, requestID = c.keys[i], fmt.Sprintf("order-%d", i)
	}
	content := ""
	if c.idPrefix != "" {
		requestID = fmt.Sprint(c.idPrefix, i)
		content = requestID + " "
	}
	content += strings.Repeat("b", max(c.bodyBytes-len(content), 0))
	var body io.Reader
	if content != "" {
		body = strings.NewReader(content)
	}
	req, err := http.NewRequest(c.method, url, body)
	if err != nil {
		c.record(requestID, "broken", "error=%q", err)
		return
	}
	req.GetBody = nil // prevents retries by the HTTP client
	req.Header.Set(toucancall.HeaderService, c.service)
	req.Header.Set(toucancall.HeaderTimeout, fmt.Sprint(c.timeout.Milliseconds()))
	for field, value := range map[string]string{
		toucancall.HeaderTenant: c.tenant, toucancall.HeaderIdempotencyKey: key, toucancall.HeaderRequestID: requestID,
	} {
		if value != "" {
			req.Header.Set(field, value)
		}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.record(requestID, "broken", "error=%q", err)
		return
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		c.record(requestID, "broken", "status=%d bytes=%d error=%q", resp.StatusCode, len(answer), err)
		return
	}
	line, rest, _ := strings.Cut(string(answer), "\n")
	outcome := resp.Header.Get(toucancall.HeaderOutcome)
	if c.idPrefix != "" && outcome == string(toucancall.Answered) && resp.StatusCode < 300 &&
		(!strings.Contains(line, " request_id="+requestID+" ") || strings.TrimLeft(rest, ".") != requestID) {
		c.record(requestID, "broken", "error=%q", fmt.Sprintf("not the answer to this request: %.200q", answer))
		return
	}
	c.record(requestID, outcome, "status=%d reason=%s bytes=%d answer=%q",
		resp.StatusCode, resp.Header.Get(toucancall.HeaderReason), len(answer), line)
}

// record counts an outcome and prints its line.
func (c *caller) record(requestID, outcome, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomeCounts[outcome]++
	fmt.Printf("outcome=%s "+format+" request_id=%s\n", append(append([]any{outcome}, args...), requestID)...)
}
