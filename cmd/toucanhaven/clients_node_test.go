package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// Clients that leave answers unread must not keep the slots of the backend server, nor those that
// hold connections the descriptors, of a process of toucanhaven node.
func TestNodeClients(t *testing.T) {
	program := buildLimited(t, crowdDescriptors)
	long := "GET " + longPath + " HTTP/1.1\r\nHost: a\r\nToucan-Service: ordini\r\nToucan-Timeout: 60000\r\n\r\n"
	discard := func(c net.Conn) { io.Copy(io.Discard, c) }
	nothing := func(int) string { return "" }
	for _, tt := range []struct {
		name, address string
		clients       int
		text          func(int) string
		read          func(c net.Conn)
	}{
		{"unread_streams", "caller_address", 100, func(int) string { return long }, nil},
		{"unread_pipelines", "caller_address", 100, func(int) string { return strings.Repeat(long, 16) }, nil},
		{"streams_read_slowly", "caller_address", 100, func(int) string { return long }, readSlowly},
		{"idle", "caller_address", 600, nothing, discard},
		{"part_of_a_head", "caller_address", 600, func(int) string { return long[:len(long)-2] }, discard},
		{"part_of_a_body", "caller_address", 600, func(int) string {
			return "POST /orders/1 HTTP/1.1\r\nHost: a\r\nToucan-Service: ordini\r\nContent-Length: 60000\r\n\r\nx"
		}, discard},
		{"idle_admin", "admin_address", 600, nothing, discard},
		{"unread_admin", "admin_address", 100, func(int) string {
			return strings.Repeat("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 20_000)
		}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := startNodeProcess(t, program, nil)
			crowd := startCrowd(tt.clients, n.addresses[tt.address], tt.text, tt.read)
			time.Sleep(crowdTime)
			n.awaitAnswer()
			if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)); err != nil || len(list) >= crowdDescriptors {
				t.Errorf("%d descriptors are open (%v), want less than %d", len(list), err, crowdDescriptors)
			}
			crowd.leave()
			n.awaitAnswer()
			checkResidentMemory(t, n.cmd.Process.Pid, nodeMemoryMB)
		})
	}
}
