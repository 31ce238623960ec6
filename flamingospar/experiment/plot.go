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
	plotWidth      = 9 * vg.Inch
	plotHeight     = 4 * vg.Inch
	plotBinSeconds = 5
)

// writePlots writes a plot for each fleet and trace: the good responses per second
// by time of arrival, of the first seed.
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
	p.Y.Label.Text = "good responses per second"
	lines := []any{"offered", binned(rows[0].results[0].offeredBySecond)}
	for _, r := range rows {
		if r.policy == boundRowName {
			continue
		}
		lines = append(lines, r.policy, binned(r.results[0].goodBySecond))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	p.Legend.Top = false
	return p.Save(plotWidth, plotHeight, path)
}

// binned returns the mean rate of each bin of plotBinSeconds.
func binned(counts []int) plotter.XYs {
	var points plotter.XYs
	for i := 0; i+plotBinSeconds <= len(counts); i += plotBinSeconds {
		total := 0
		for _, n := range counts[i : i+plotBinSeconds] {
			total += n
		}
		points = append(points, plotter.XY{X: float64(i) + plotBinSeconds/2.0, Y: float64(total) / plotBinSeconds})
	}
	return points
}
