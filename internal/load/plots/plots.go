// Package plots draws the results of load runs over time.
package plots

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/orioleusher/orioleusher/internal/load/report"
)

// Size of the picture and the number of its panels in a row and a column.
const (
	width   = 13 * vg.Inch
	height  = 9 * vg.Inch
	rows    = 2
	columns = 2
)

const (
	// plotMode is the mode of the file.
	plotMode = 0o644
	// headroom is the part of a panel's height that the legend takes.
	headroom = 1.2
)

// panel is one diagram: a figure of each second.
type panel struct {
	title string
	unit  string
	value func(*report.Second) (float64, bool)
}

func panels() [rows][columns]panel {
	return [rows][columns]panel{
		{
			{"Cache reuse", "share of the oracle", reuseOfOracle},
			{"Load skew", "highest in flight over mean", func(s *report.Second) (float64, bool) {
				return s.HighestOverMean, s.HighestOverMean > 0
			}},
		},
		{
			{"First byte, p99", "ms from the time due", func(s *report.Second) (float64, bool) {
				return s.FirstByteP99, s.OK > 0
			}},
			{"Refused or lost", "share of requests", func(s *report.Second) (float64, bool) {
				return float64(s.RateRefused+s.Lost) / float64(max(1, s.Requests)), s.Requests > 0
			}},
		},
	}
}

func reuseOfOracle(s *report.Second) (float64, bool) {
	return float64(s.CachedTokens) / float64(max(1, s.OracleTokens)), s.OracleTokens > 0
}

// Write draws the results, a line each, into the file at path; its ending says whether as PNG or SVG.
func Write(path string, results []*report.Result) error {
	picture, err := render(path, results)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if _, err := picture.WriteTo(&out); err != nil {
		return errors.Wrapf(err, "encode plot %s", path)
	}
	return errors.Wrap(os.WriteFile(path, out.Bytes(), plotMode), "write plot")
}

func render(path string, results []*report.Result) (io.WriterTo, error) {
	switch strings.ToLower(filepath.Ext(path)) {
	case ".png":
		canvas := vgimg.New(width, height)
		return vgimg.PngCanvas{Canvas: canvas}, drawAll(draw.New(canvas), results)
	case ".svg":
		canvas := vgsvg.New(width, height)
		return canvas, drawAll(draw.New(canvas), results)
	default:
		return nil, errors.Errorf("plot %s: want a name that ends in .png or .svg", path)
	}
}

func drawAll(canvas draw.Canvas, results []*report.Result) error {
	const pad = 12 * vg.Length(1)
	tiles := draw.Tiles{
		Rows: rows, Cols: columns, PadX: pad, PadY: pad, PadTop: pad, PadBottom: pad, PadLeft: pad, PadRight: pad,
	}
	grid := make([][]*plot.Plot, rows)
	for i, row := range panels() {
		for _, p := range row {
			drawn, err := p.plot(results)
			if err != nil {
				return err
			}
			grid[i] = append(grid[i], drawn)
		}
	}
	for i, row := range plot.Align(grid, tiles, canvas) {
		for j, c := range row {
			grid[i][j].Draw(c)
		}
	}
	return nil
}

func (p panel) plot(results []*report.Result) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text = p.title
	drawn.X.Label.Text = "seconds"
	drawn.Y.Label.Text = p.unit
	drawn.Y.Min = 0
	drawn.Legend.Top = true
	drawn.Add(plotter.NewGrid())
	for i, r := range results {
		line, err := plotter.NewLine(p.points(r))
		if err != nil {
			return nil, errors.Wrapf(err, "draw %s of %s", p.title, r.Label)
		}
		line.Color = plotutil.Color(i) //nolint:misspell // the library spells it so
		line.Dashes = plotutil.Dashes(i)
		drawn.Add(line)
		drawn.Legend.Add(r.Fleet+"/"+r.Label, line)
	}
	drawn.Y.Max *= headroom
	return drawn, nil
}

// points returns at least one point, because a line needs one.
func (p panel) points(r *report.Result) plotter.XYs {
	var points plotter.XYs
	for i := range r.Series {
		if y, ok := p.value(&r.Series[i]); ok {
			points = append(points, plotter.XY{X: float64(r.Series[i].At), Y: y})
		}
	}
	if len(points) == 0 {
		points = plotter.XYs{{}}
	}
	return points
}
