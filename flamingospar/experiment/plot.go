package experiment

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth     = 9 * vg.Inch
	plotHeight    = 4 * vg.Inch
	smoothSeconds = 5
)

// writePlots draws, for each fleet and trace, good answers a second by time of
// arrival, of the first seed.
func writePlots(dir string, rows []row) error {
	groups := make(map[string][]row)
	var order []string
	for _, r := range rows {
		name := r.fleet + "-" + r.trace.Name
		if groups[name] == nil {
			order = append(order, name)
		}
		groups[name] = append(groups[name], r)
	}
	for _, name := range order {
		if err := writePlot(filepath.Join(dir, name+".svg"), name, groups[name]); err != nil {
			return err
		}
	}
	return nil
}

func writePlot(path, title string, rows []row) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "good answers a second"
	lines := []any{"offered", smoothed(rows[0].results[0].offeredBy)}
	for _, r := range rows {
		if r.policy == boundName {
			continue
		}
		lines = append(lines, r.policy, smoothed(r.results[0].goodBySecond))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	p.Legend.Top = false
	return p.Save(plotWidth, plotHeight, path)
}

func smoothed(counts []int) plotter.XYs {
	var points plotter.XYs
	for i := 0; i+smoothSeconds <= len(counts); i += smoothSeconds {
		sum := 0
		for _, n := range counts[i : i+smoothSeconds] {
			sum += n
		}
		points = append(points, plotter.XY{X: float64(i) + smoothSeconds/2.0, Y: float64(sum) / smoothSeconds})
	}
	return points
}
