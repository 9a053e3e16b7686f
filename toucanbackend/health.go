package toucanbackend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"toucanhaven/toucanconn"
)

// healthTimeout limits a health check. The check waits for a slot like any other request.
const healthTimeout = time.Second

var errNoInstanceID = errors.New("response has no instance id header")

// failingError is the error for a server which says that it is leaving or failing.
type failingError struct{ instance string }

func (e *failingError) Error() string {
	return fmt.Sprintf("server %q is leaving or failing", e.instance)
}

// CheckHealth makes one health check of the server at an address, on a connection of its
// own. It returns the id of the server if that answers with status 200, which says that
// it is not about to leave, and an error otherwise.
func (r *Runner) CheckHealth(ctx context.Context, address, path string) (instance string, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("check the health of %s: %w", address, err)
		}
	}()
	deadline := time.Now().Add(healthTimeout)
	conn, err := r.pool.Dial(ctx, address, deadline)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(deadline); err != nil {
		return "", err
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address); err != nil {
		return "", err
	}
	resp, err := r.readFinalResponse(conn)
	if err != nil {
		return "", err
	}
	r.bodies.Release(resp.held)
	switch {
	case resp.status == http.StatusServiceUnavailable && resp.header.Get(r.names.NotRun) == "":
		return "", &failingError{resp.header.Get(r.names.InstanceID)}
	case resp.status != http.StatusOK: // 503 if the server is full
		return "", fmt.Errorf("status %d", resp.status)
	}
	if instance = resp.header.Get(r.names.InstanceID); instance == "" {
		return "", errNoInstanceID
	}
	return instance, nil
}

// readFinalResponse reads the response to a health check. It skips informational responses.
func (r *Runner) readFinalResponse(conn *toucanconn.Conn) (*response, error) {
	for range maxSkippedResponses {
		if _, resp, err := r.readOneResponse(conn, http.MethodGet, r.Grow); resp != nil || err != nil {
			return resp, err
		}
	}
	return nil, errTooManySkipped
}
