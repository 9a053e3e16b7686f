package toucanscenario

import (
	"fmt"
	"io"
	"text/tabwriter"

	"toucanhaven/toucanadmission"
)

// weighting is how a platform values the two sides of the trade during a flood
// of the most urgent rank. The numbers are assumptions in the spirit of the
// requirements: Padana weighs the urgent rank most, Noord-Holland what ordinary
// requests keep.
type weighting struct {
	urgent, others float64
}

var weightings = map[string]weighting{
	"padana":        {urgent: 0.8, others: 0.2},
	"noord-holland": {urgent: 0.2, others: 0.8},
}

// tradePolicies are the compared policies in the order of the table.
var tradePolicies = []struct {
	name   string
	policy toucanadmission.Policy
}{
	{"strict", toucanadmission.StrictPriority{}},
	{"floors 10%", toucanadmission.MinimumShares{Share: 0.1}},
	{"floors 20%", toucanadmission.MinimumShares{Share: 0.2}},
	{"floors 40%", toucanadmission.MinimumShares{Share: 0.4}},
	{"shares", toucanadmission.EqualShares{}},
}

// PrintPolicyTradeoff compares the policies during a flood of the most urgent class by
// all tenants and during a flood of all classes by one tenant.
func PrintPolicyTradeoff(w io.Writer, seed uint64) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "## trade during a flood that includes the most urgent rank")
	fmt.Fprintln(t, "deployment\tflood\tpolicy\turgent of ideal\tothers kept, ordinary tenants\tscore padana\tscore noord-holland")
	for _, topology := range []Topology{Padana(), NoordHolland()} {
		for _, name := range []string{"flood-urgent", "flood-tenant"} {
			for _, p := range tradePolicies {
				sc := find(topology, name)
				sc.Policy = p.policy
				urgent, others := sides(Run(sc, Toucan, seed))
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.2f\t%.2f\n", topology.Name, name, p.name, percent(urgent),
					percent(others), weightings["padana"].score(urgent, others), weightings["noord-holland"].score(urgent, others))
			}
		}
	}
	t.Flush()
}

func (w weighting) score(urgent, others float64) float64 { return w.urgent*urgent + w.others*others }

// sides returns what the most urgent class got of its strict ideal, and the
// mean over the other classes of what ordinary tenants kept of their demand.
func sides(r Report) (urgent, others float64) {
	for i, c := range r.Classes {
		if i == 0 {
			urgent = c.Good / c.Ideal
			continue
		}
		others += c.Kept / float64(len(r.Classes)-1)
	}
	return urgent, others
}

func find(t Topology, name string) Scenario {
	for _, sc := range Scenarios(t) {
		if sc.Name == name {
			return sc
		}
	}
	panic("toucanscenario: unknown scenario " + name)
}
