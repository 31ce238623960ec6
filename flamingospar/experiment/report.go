package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
)

// measure is one column of the table.
type measure struct {
	name   string
	digits int
	of     func(*Result, Trace) float64
}

var measures = []measure{
	{"good/s", 1, func(r *Result, t Trace) float64 { return float64(r.good) / t.Seconds }},
	{"in-window", 1, inWindow},
	{"of-bound", 3, func(r *Result, _ Trace) float64 { return float64(r.good) / r.bound }},
	{"worst-share", 3, func(r *Result, _ Trace) float64 { return r.worstShare }},
	{"ttft-p50", 0, func(r *Result, _ Trace) float64 { return r.first.quantile(0.5) }},
	{"ttft-p95", 0, func(r *Result, _ Trace) float64 { return r.first.quantile(0.95) }},
	{"ttft-p99", 0, func(r *Result, _ Trace) float64 { return r.first.quantile(0.99) }},
	{"gap-p50", 0, func(r *Result, _ Trace) float64 { return r.gaps.quantile(0.5) }},
	{"gap-p95", 0, func(r *Result, _ Trace) float64 { return r.gaps.quantile(0.95) }},
	{"gap-p99", 0, func(r *Result, _ Trace) float64 { return r.gaps.quantile(0.99) }},
	{"refused", 0, func(r *Result, _ Trace) float64 { return float64(r.refused) }},
	{"left", 0, func(r *Result, _ Trace) float64 { return float64(r.abandoned) }},
	{"retries", 0, func(r *Result, _ Trace) float64 { return float64(r.retries) }},
	{"roles", 0, func(r *Result, _ Trace) float64 { return float64(r.roleChanges) }},
	{"endpoint-h", 2, func(r *Result, _ Trace) float64 { return r.endpointHours }},
	{"h/least", 2, func(r *Result, _ Trace) float64 { return r.endpointHours / r.leastHours }},
	{"service/h", 3, func(r *Result, _ Trace) float64 { return r.goodWork / 3600 / max(r.endpointHours, 1e-9) }},
}

// inWindow returns good answers a second to what arrived in the trace's window.
func inWindow(r *Result, t Trace) float64 {
	sum := 0
	for second := int(t.From); second < int(t.To); second++ {
		sum += r.goodBySecond[second]
	}
	return float64(sum) / (t.To - t.From)
}

// row is what the seeds of one fleet, trace and policy gave.
type row struct {
	fleet   string
	trace   Trace
	policy  string
	results []*Result
}

// values returns the measure of each seed, in rising order.
func (r row) values(m measure) []float64 {
	values := make([]float64, 0, len(r.results))
	for _, result := range r.results {
		values = append(values, m.of(result, r.trace))
	}
	slices.Sort(values)
	return values
}

func median(sorted []float64) float64 { return sorted[len(sorted)/2] }

// writeTable prints medians, with the spread of the goodput and the worst share.
func writeTable(w io.Writer, rows []row) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "fleet\ttrace\tpolicy\t")
	for _, m := range measures {
		fmt.Fprintf(table, "%s\t", m.name)
	}
	fmt.Fprintln(table)
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t", r.fleet, r.trace.Name, r.policy)
		for _, m := range measures {
			fmt.Fprintf(table, "%s\t", cell(r.values(m), m))
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

func cell(values []float64, m measure) string {
	text := number(median(values), m.digits)
	if m.name == "of-bound" || m.name == "worst-share" {
		text += fmt.Sprintf(" (%s-%s)", number(values[0], m.digits), number(values[len(values)-1], m.digits))
	}
	return text
}

func number(value float64, digits int) string {
	return strconv.FormatFloat(value, 'f', digits, 64)
}

// writeCSV writes each seed's figures.
func writeCSV(w io.Writer, rows []row) error {
	out := csv.NewWriter(w)
	header := []string{"fleet", "trace", "policy", "seed"}
	for _, m := range measures {
		header = append(header, m.name)
	}
	if err := out.Write(header); err != nil {
		return err
	}
	for _, r := range rows {
		for seed, result := range r.results {
			fields := []string{r.fleet, r.trace.Name, r.policy, strconv.Itoa(seed + 1)}
			for _, m := range measures {
				fields = append(fields, number(m.of(result, r.trace), 4))
			}
			if err := out.Write(fields); err != nil {
				return err
			}
		}
	}
	out.Flush()
	return out.Error()
}
