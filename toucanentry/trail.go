package toucanentry

import (
	"strings"

	"toucanhaven/toucancall"
	"toucanhaven/toucanpeer"
)

// trail lists the attempts of a request in order.
type trail []attempt

type attempt struct {
	node    string
	outcome toucancall.Outcome
	reason  toucancall.Reason
}

func (t *trail) add(node string, r toucanpeer.Result) {
	*t = append(*t, attempt{node: node, outcome: r.Outcome, reason: r.Reason})
}

// String returns the attempts as "node:outcome/reason", separated by commas. It returns
// the empty string for a single attempt that was answered, to keep most lines short.
func (t trail) String() string {
	if len(t) == 0 || len(t) == 1 && t[0].outcome == toucancall.Answered {
		return ""
	}
	var b strings.Builder
	for i, a := range t {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(a.node)
		b.WriteByte(':')
		b.WriteString(string(a.outcome))
		if a.reason != "" {
			b.WriteByte('/')
			b.WriteString(string(a.reason))
		}
	}
	return b.String()
}
