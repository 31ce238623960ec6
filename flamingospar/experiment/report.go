package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
)

// column is a measure, shown as a column of the table and the CSV file.
type column struct {
	name   string
	digits int
	value  func(*Result, Trace) float64
}

var columns = []column{
	{"good/s", 1, func(r *Result, t Trace) float64 { return float64(r.good) / t.Seconds }},
	{"in-window", 1, inWindow},
	{"of-bound", 3, func(r *Result, _ Trace) float64 { return float64(r.good) / r.bound }},
	{"worst-share", 3, func(r *Result, _ Trace) float64 { return r.worstShare }},
	{"ttft-p50", 0, func(r *Result, _ Trace) float64 { return r.firstToken.quantile(0.5) }},
	{"ttft-p95", 0, func(r *Result, _ Trace) float64 { return r.firstToken.quantile(0.95) }},
	{"ttft-p99", 0, func(r *Result, _ Trace) float64 { return r.firstToken.quantile(0.99) }},
	{"gap-p50", 0, func(r *Result, _ Trace) float64 { return r.tokenGaps.quantile(0.5) }},
	{"gap-p95", 0, func(r *Result, _ Trace) float64 { return r.tokenGaps.quantile(0.95) }},
	{"gap-p99", 0, func(r *Result, _ Trace) float64 { return r.tokenGaps.quantile(0.99) }},
	{"refused", 0, func(r *Result, _ Trace) float64 { return float64(r.refused) }},
	{"left", 0, func(r *Result, _ Trace) float64 { return float64(r.abandoned) }},
	{"retries", 0, func(r *Result, _ Trace) float64 { return float64(r.retries) }},
	{"roles", 0, func(r *Result, _ Trace) float64 { return float64(r.roleChanges) }},
	{"endpoint-h", 2, func(r *Result, _ Trace) float64 { return r.endpointHours }},
	{"h/least", 2, func(r *Result, _ Trace) float64 { return r.endpointHours / r.minEndpointHours }},
	{"service/h", 3, func(r *Result, _ Trace) float64 { return r.goodWork / 3600 / max(r.endpointHours, 1e-9) }},
}

// inWindow returns the good responses per second to requests that arrived in the
// trace's window.
func inWindow(r *Result, t Trace) float64 {
	sum := 0
	for second := int(t.WindowStart); second < int(t.WindowEnd); second++ {
		sum += r.goodBySecond[second]
	}
	return float64(sum) / (t.WindowEnd - t.WindowStart)
}

// row holds the results of a fleet, trace and policy by seed.
type row struct {
	fleet   string
	trace   Trace
	policy  string
	results []*Result
}

// values returns the measure of each seed in ascending order.
func (r row) values(c column) []float64 {
	values := make([]float64, 0, len(r.results))
	for _, result := range r.results {
		values = append(values, c.value(result, r.trace))
	}
	slices.Sort(values)
	return values
}

func median(sorted []float64) float64 { return sorted[len(sorted)/2] }

// writeTable writes the medians over the seeds, and for of-bound and worst-share
// also the lowest and highest value.
func writeTable(w io.Writer, rows []row) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "fleet\ttrace\tpolicy\t")
	for _, c := range columns {
		fmt.Fprintf(table, "%s\t", c.name)
	}
	fmt.Fprintln(table)
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t", r.fleet, r.trace.Name, r.policy)
		for _, c := range columns {
			fmt.Fprintf(table, "%s\t", formatCell(r.values(c), c))
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

func formatCell(values []float64, c column) string {
	text := formatNumber(median(values), c.digits)
	if c.name == "of-bound" || c.name == "worst-share" {
		text += fmt.Sprintf(" (%s-%s)", formatNumber(values[0], c.digits), formatNumber(values[len(values)-1], c.digits))
	}
	return text
}

func formatNumber(value float64, digits int) string {
	return strconv.FormatFloat(value, 'f', digits, 64)
}

// writeCSV writes the values of each seed.
func writeCSV(w io.Writer, rows []row) error {
	out := csv.NewWriter(w)
	header := []string{"fleet", "trace", "policy", "seed"}
	for _, c := range columns {
		header = append(header, c.name)
	}
	if err := out.Write(header); err != nil {
		return err
	}
	for _, r := range rows {
		for seed, result := range r.results {
			fields := []string{r.fleet, r.trace.Name, r.policy, strconv.Itoa(seed + 1)}
			for _, c := range columns {
				fields = append(fields, formatNumber(c.value(result, r.trace), 4))
			}
			if err := out.Write(fields); err != nil {
				return err
			}
		}
	}
	out.Flush()
	return out.Error()
}
