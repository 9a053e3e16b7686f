package toucankvtest

import (
	"encoding/json"
	"net/http"
	"time"
)

// faultsMessage is the JSON form of Faults.
type faultsMessage struct {
	Down           bool  `json:"down"`
	DelayMs        int64 `json:"delay_ms"`
	LoseReplies    int   `json:"lose_replies"`
	DownAfterWrite bool  `json:"down_after_write"`
}

// serveTestPath serves the paths that set faults, return faults and counters, and
// end sessions. It also works while Faults.Down is set.
func (s *Server) serveTestPath(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "PUT /test/faults":
		var m faultsMessage
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(m.toFaults())
		w.WriteHeader(http.StatusNoContent)
	case "GET /test/faults":
		writeJSON(w, newFaultsMessage(s.Faults()))
	case "GET /test/counters":
		writeJSON(w, s.Counters())
	case "POST /test/lapse":
		if id := r.URL.Query().Get("session"); id == "" {
			s.ExpireAllSessions()
		} else if !s.ExpireSession(id) {
			http.Error(w, "no such session", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	default:
		http.NotFound(w, r)
	}
}

func (m faultsMessage) toFaults() Faults {
	return Faults{
		Down:           m.Down,
		Delay:          time.Duration(m.DelayMs) * time.Millisecond,
		LoseReplies:    m.LoseReplies,
		DownAfterWrite: m.DownAfterWrite,
	}
}

func newFaultsMessage(f Faults) faultsMessage {
	return faultsMessage{Down: f.Down, DelayMs: f.Delay.Milliseconds(), LoseReplies: f.LoseReplies, DownAfterWrite: f.DownAfterWrite}
}
