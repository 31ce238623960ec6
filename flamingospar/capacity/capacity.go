package capacity

import (
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// Factors by which a measured slope may differ from the page.
const (
	maxBytesFactor = 1.5
	maxTimeFactor  = 4.0
)

const (
	beginSlopes  = "<!-- slopes: begin -->\n"
	endSlopes    = "<!-- slopes: end -->\n"
	beginFigures = "<!-- figures: begin -->\n"
	endFigures   = "<!-- figures: end -->\n"
)

var errLeaseNotGranted = errors.New("capacity: the stand-in platform did not grant the lease")

// Options configure a measurement.
type Options struct {
	Page  string // Path of docs/CAPACITY.md.
	Write bool   // Write slopes and figures to the page instead of comparing them with it.
}

// DefaultOptions returns the options of a plain `flamingospar capacity measure`.
func DefaultOptions() Options { return Options{Page: "docs/CAPACITY.md"} }

// Run measures all slopes and prints them with the estimates at the target size.
// It then writes them to the page, or fails if they differ from the page by more
// than the allowed factor.
func Run(options Options, stdout io.Writer) error {
	page, err := os.ReadFile(options.Page)
	if err != nil {
		return fmt.Errorf("%w; remedy: run the command in the root of the repository or give the path with --page", err)
	}
	slopes, err := measureAll(stdout)
	if err != nil {
		return err
	}
	fmt.Fprint(stdout, estimatesTable(slopes))
	if options.Write {
		return writePage(options.Page, string(page), slopes)
	}
	return compareWithPage(string(page), slopes, stdout)
}

func measureAll(stdout io.Writer) ([]Slope, error) {
	var slopes []Slope
	measurements := append(stateMeasurements(), usageMeasurements()...)
	for _, m := range append(measurements, wireMeasurements()...) {
		value, err := m.measure()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
		slope := Slope{Name: m.name, Unit: m.unit, Value: value, Item: m.item}
		fmt.Fprint(stdout, slopeLine(slope))
		slopes = append(slopes, slope)
	}
	return slopes, nil
}

func slopeLine(slope Slope) string {
	return fmt.Sprintf("| `%s` | %.4g | %s | %s |\n", slope.Name, slope.Value, slope.Unit, slope.Item)
}

func slopesTable(slopes []Slope) string {
	var table strings.Builder
	table.WriteString("\n| slope | measured | unit | of one more |\n| --- | --- | --- | --- |\n")
	for _, slope := range slopes {
		table.WriteString(slopeLine(slope))
	}
	table.WriteString("\n")
	return table.String()
}

func estimatesTable(slopes []Slope) string {
	byName := make(Slopes)
	for _, slope := range slopes {
		byName[slope.Name] = slope.Value
	}
	var table strings.Builder
	table.WriteString("\n| role | kind | what | at the target size | bound | |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, estimate := range Estimates(byName) {
		bound, verdict := "", ""
		if estimate.Bound > 0 {
			bound = fmt.Sprintf("%.4g", estimate.Bound)
			verdict = "within"
			if estimate.Value > estimate.Bound {
				verdict = "**missed**"
			}
		}
		fmt.Fprintf(&table, "| %s | %s | %s | %.3g %s | %s | %s |\n", estimate.Role, estimate.Kind, estimate.What, estimate.Value, estimate.Unit, bound, verdict)
	}
	table.WriteString("\n")
	return table.String()
}

func writePage(path, page string, slopes []Slope) error {
	page, err := replaceBetween(page, beginSlopes, endSlopes, slopesTable(slopes))
	if err != nil {
		return err
	}
	page, err = replaceBetween(page, beginFigures, endFigures, estimatesTable(slopes))
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(page), 0o644)
}

func replaceBetween(page, begin, end, text string) (string, error) {
	before, rest, hasBegin := strings.Cut(page, begin)
	_, after, hasEnd := strings.Cut(rest, end)
	if !hasBegin || !hasEnd {
		return "", fmt.Errorf("capacity: the page has no %q; remedy: restore the begin and end markers", strings.TrimSpace(begin))
	}
	return before + begin + text + end + after, nil
}

var slopeRowPattern = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([0-9.e+]+) \\|")

// compareWithPage fails if the page lacks a slope or differs from the measured one
// by more than the allowed factor.
func compareWithPage(page string, slopes []Slope, stdout io.Writer) error {
	pageValues := make(map[string]float64)
	for _, row := range slopeRowPattern.FindAllStringSubmatch(page, -1) {
		value, err := strconv.ParseFloat(row[2], 64)
		if err != nil {
			return err
		}
		pageValues[row[1]] = value
	}
	deviations := 0
	for _, slope := range slopes {
		factor := maxBytesFactor
		if slope.Unit == Microseconds {
			factor = maxTimeFactor
		}
		pageValue, listed := pageValues[slope.Name]
		if !listed || slope.Value > pageValue*factor || slope.Value < pageValue/factor {
			fmt.Fprintf(stdout, "%s: the page says %.4g, measured %.4g\n", slope.Name, pageValue, slope.Value)
			deviations++
		}
	}
	if deviations > 0 {
		return fmt.Errorf("capacity: %d slopes differ from the page; remedy: find the cause, then update the page with --write", deviations)
	}
	fmt.Fprintln(stdout, "All slopes agree with the page.")
	return nil
}
