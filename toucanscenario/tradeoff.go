package toucanscenario

import (
	"fmt"
	"io"
	"text/tabwriter"

	"toucanhaven/toucanadmission"
)

// tradeoffWeights contains the weights that a platform gives to the most urgent
// class and to the requests of ordinary tenants in the other classes during a
// flood of the most urgent rank.
type tradeoffWeights struct {
	urgent, others float64
}

// weightsByPlatform gives the greater weight to the most urgent rank for Padana and
// to the other requests of ordinary tenants for Noord-Holland, in line with the
// requirements of the two platforms. The numbers are assumptions.
var weightsByPlatform = map[string]tradeoffWeights{
	"padana":        {urgent: 0.8, others: 0.2},
	"noord-holland": {urgent: 0.2, others: 0.8},
}

// comparedPolicies lists the compared policies in the order of the table.
var comparedPolicies = []struct {
	name   string
	policy toucanadmission.Policy
}{
	{"strict", toucanadmission.StrictPriority{}},
	{"floors 10%", toucanadmission.MinimumShares{Share: 0.1}},
	{"floors 20%", toucanadmission.MinimumShares{Share: 0.2}},
	{"floors 40%", toucanadmission.MinimumShares{Share: 0.4}},
	{"shares", toucanadmission.EqualShares{}},
}

// PrintPolicyTradeoff writes a table that compares the policies during a flood of
// the most urgent class by all tenants and during a flood of all classes by one
// tenant.
func PrintPolicyTradeoff(w io.Writer, seed uint64) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "## trade during a flood that includes the most urgent rank")
	fmt.Fprintln(t, "deployment\tflood\tpolicy\turgent of ideal\tothers kept, ordinary tenants\tscore padana\tscore noord-holland")
	for _, topology := range []Topology{Padana(), NoordHolland()} {
		for _, name := range []string{"flood-urgent", "flood-tenant"} {
			for _, p := range comparedPolicies {
				sc := findScenario(topology, name)
				sc.Policy = p.policy
				urgent, others := tradeoffSides(Run(sc, Toucan, seed))
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.2f\t%.2f\n", topology.Name, name, p.name, formatPercent(urgent),
					formatPercent(others), weightsByPlatform["padana"].score(urgent, others), weightsByPlatform["noord-holland"].score(urgent, others))
			}
		}
	}
	t.Flush()
}

func (w tradeoffWeights) score(urgent, others float64) float64 {
	return w.urgent*urgent + w.others*others
}

// tradeoffSides returns the goodput of the most urgent class as a share of its
// ideal goodput under strict priority, and the mean over the other classes of the
// share of the ordinary tenants' requests that was answered on time.
func tradeoffSides(r Report) (urgent, others float64) {
	for i, c := range r.Classes {
		if i == 0 {
			urgent = c.Goodput / c.IdealGoodput
			continue
		}
		others += c.OrdinaryOnTime / float64(len(r.Classes)-1)
	}
	return urgent, others
}

// findScenario returns the scenario of a deployment with the given name. It
// panics if there is none.
func findScenario(t Topology, name string) Scenario {
	for _, sc := range Scenarios(t) {
		if sc.Name == name {
			return sc
		}
	}
	panic("toucanscenario: unknown scenario " + name)
}
