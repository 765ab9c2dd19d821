package gateway

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"silvertrail/internal/fleet"
	"silvertrail/internal/fleet/membership"
)

// labelEscaper escapes the value of a label (Prometheus text format).
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// gauge is a value with the name and labels of its metric.
type gauge struct {
	name  string
	value float64
}

func gaugeOf(name string, value float64, labels ...string) gauge {
	for i := 0; i+1 < len(labels); i += 2 {
		open := ","
		if i == 0 {
			open = "{"
		}
		name += fmt.Sprintf(`%s%s="%s"`, open, labels[i], labelEscaper.Replace(labels[i+1]))
	}
	if len(labels) > 0 {
		name += "}"
	}
	return gauge{name, value}
}

func boolGauge(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// fleetGauges returns the metrics of the fleet as this instance sees it. OPERATING.md describes them.
func fleetGauges(f *fleet.Fleet) (out []gauge) {
	out = append(out, gaugeOf("silvertrail_fleet_share_instances", float64(f.Quota().Instances)))
	for _, m := range f.Members() {
		out = append(out, gaugeOf("silvertrail_fleet_member_state", 1, "member", m.Name, "state", m.State),
			gaugeOf("silvertrail_fleet_member_unheard_by", float64(len(m.UnreachableFrom)), "member", m.Name),
			gaugeOf("silvertrail_fleet_member_loss_ratio", m.LossRatio, "member", m.Name))
	}
	if v, told := f.Versions(); told {
		out = append(out, gaugeOf("silvertrail_fleet_in_step", boolGauge(v.AllCurrent)))
		for _, m := range v.Members {
			out = append(out, gaugeOf("silvertrail_fleet_version_state", 1, "member", m.Member, "state", m.State.String()),
				gaugeOf("silvertrail_fleet_version_age_seconds", m.Age.Seconds(), "member", m.Member))
			for _, x := range m.Findings {
				out = append(out, gaugeOf("silvertrail_fleet_version_behind", float64(x.VersionsBehind), "member", m.Member, "kind", x.Kind.String(), "name", x.Name))
			}
		}
	}
	r, views := f.Reachability()
	if !views {
		return out
	}
	out = append(out, gaugeOf("silvertrail_fleet_view", float64(r.Number)), gaugeOf("silvertrail_fleet_view_members", float64(len(r.Members))),
		gaugeOf("silvertrail_fleet_confirmed", boolGauge(r.HasQuorum)), gaugeOf("silvertrail_fleet_isolated", boolGauge(r.Isolated || r.Number == 0)))
	kinds := map[membership.DiagnosisKind]int{}
	for _, x := range r.Diagnoses {
		kinds[x.Kind]++
	}
	for kind, n := range kinds {
		out = append(out, gaugeOf("silvertrail_fleet_findings", float64(n), "kind", string(kind)))
	}
	return out
}

// writeGauges writes gauges in the Prometheus text format, grouped by metric.
func writeGauges(w io.Writer, of []gauge) {
	slices.SortFunc(of, func(a, b gauge) int { return cmp.Compare(a.name, b.name) })
	last := ""
	for _, g := range of {
		if metric, _, _ := strings.Cut(g.name, "{"); metric != last {
			last = metric
			fmt.Fprintf(w, "# TYPE %s gauge\n", metric)
		}
		metrics.WriteGaugeFloat64(w, g.name, g.value)
	}
}

func (g *Gateway) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	var text bytes.Buffer
	if g.fleet != nil {
		writeGauges(&text, fleetGauges(g.fleet))
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_, _ = w.Write(text.Bytes()) // a client that has disconnected needs no metrics
}
