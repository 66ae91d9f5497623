package experiment

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// writePlot draws the attainment of each system over the time of the run, as the
// mean over the seeds, to a PNG file.
func writePlot(file, title string, runs []Run) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time of the run, s"
	p.Y.Label.Text = "share of requests within target"
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for _, s := range Systems {
		if points := meanBySecond(runs, s.Name); len(points) > 0 {
			lines = append(lines, s.Name, points)
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot %q: %w", file, err)
	}
	return p.Save(plotWidth, plotHeight, file)
}

func meanBySecond(runs []Run, system string) plotter.XYs {
	sum := make(map[int]float64)
	count := make(map[int]float64)
	last := 0
	for _, r := range runs {
		if r.System != system {
			continue
		}
		seconds, attainment := r.Result.AttainmentBySecond()
		for i, s := range seconds {
			sum[int(s)] += attainment[i]
			count[int(s)]++
			last = max(last, int(s))
		}
	}
	var points plotter.XYs
	for s := range last + 1 {
		if count[s] > 0 {
			points = append(points, plotter.XY{X: float64(s), Y: sum[s] / count[s]})
		}
	}
	return points
}
