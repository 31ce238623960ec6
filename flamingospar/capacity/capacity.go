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

// Factors by which a slope may be off the page's.
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

var errNotHeld = errors.New("capacity: the stand-in's lease was not granted")

// Options choose what to do with the measured slopes.
type Options struct {
	Page  string // Path of docs/CAPACITY.md.
	Write bool   // Write the slopes and figures to the page instead of comparing.
}

// DefaultOptions returns the options of a plain `flamingospar capacity measure`.
func DefaultOptions() Options { return Options{Page: "docs/CAPACITY.md"} }

// Run measures all slopes, prints them and the figures at the target size, and
// fails when the page is off by more than a factor.
func Run(options Options, stdout io.Writer) error {
	page, err := os.ReadFile(options.Page)
	if err != nil {
		return fmt.Errorf("%w; remedy: run it in the repository's root or name the page by --page", err)
	}
	slopes, err := measureAll(stdout)
	if err != nil {
		return err
	}
	fmt.Fprint(stdout, figuresTable(slopes))
	if options.Write {
		return write(options.Page, string(page), slopes)
	}
	return compare(string(page), slopes, stdout)
}

func measureAll(stdout io.Writer) ([]Slope, error) {
	var slopes []Slope
	measurements := append(stateMeasurements(), usageMeasurements()...)
	for _, m := range append(measurements, wireMeasurements()...) {
		value, err := m.measure()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
		slope := Slope{Name: m.name, Unit: m.unit, Value: value, Of: m.of}
		fmt.Fprint(stdout, slopeLine(slope))
		slopes = append(slopes, slope)
	}
	return slopes, nil
}

func slopeLine(slope Slope) string {
	return fmt.Sprintf("| `%s` | %.4g | %s | %s |\n", slope.Name, slope.Value, slope.Unit, slope.Of)
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

func figuresTable(slopes []Slope) string {
	byName := make(Slopes)
	for _, slope := range slopes {
		byName[slope.Name] = slope.Value
	}
	var table strings.Builder
	table.WriteString("\n| role | kind | what | at the target size | bound | |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, figure := range Figures(byName) {
		bound, verdict := "", ""
		if figure.Bound > 0 {
			bound = fmt.Sprintf("%.4g", figure.Bound)
			verdict = "within"
			if figure.Value > figure.Bound {
				verdict = "**missed**"
			}
		}
		fmt.Fprintf(&table, "| %s | %s | %s | %.3g %s | %s | %s |\n", figure.Role, figure.Kind, figure.What, figure.Value, figure.Unit, bound, verdict)
	}
	table.WriteString("\n")
	return table.String()
}

func write(path, page string, slopes []Slope) error {
	page, err := replaceBetween(page, beginSlopes, endSlopes, slopesTable(slopes))
	if err != nil {
		return err
	}
	page, err = replaceBetween(page, beginFigures, endFigures, figuresTable(slopes))
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(page), 0o644)
}

func replaceBetween(page, begin, end, text string) (string, error) {
	before, rest, begun := strings.Cut(page, begin)
	_, after, ended := strings.Cut(rest, end)
	if !begun || !ended {
		return "", fmt.Errorf("capacity: the page has no %q; remedy: put the marks back", strings.TrimSpace(begin))
	}
	return before + begin + text + end + after, nil
}

var slopeRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([0-9.e+]+) \\|")

// compare fails when the page misses a slope or is off by more than a factor.
func compare(page string, slopes []Slope, stdout io.Writer) error {
	written := make(map[string]float64)
	for _, row := range slopeRow.FindAllStringSubmatch(page, -1) {
		value, err := strconv.ParseFloat(row[2], 64)
		if err != nil {
			return err
		}
		written[row[1]] = value
	}
	off := 0
	for _, slope := range slopes {
		factor := maxBytesFactor
		if slope.Unit == Microseconds {
			factor = maxTimeFactor
		}
		before, known := written[slope.Name]
		if !known || slope.Value > before*factor || slope.Value < before/factor {
			fmt.Fprintf(stdout, "%s: the page says %.4g, measured %.4g\n", slope.Name, before, slope.Value)
			off++
		}
	}
	if off > 0 {
		return fmt.Errorf("capacity: %d slopes are off the page; remedy: find out why, then run it with --write", off)
	}
	fmt.Fprintln(stdout, "The page's slopes hold.")
	return nil
}
