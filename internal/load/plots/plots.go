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

// Size of the image, and the rows and columns of its panels.
const (
	width   = 13 * vg.Inch
	height  = 9 * vg.Inch
	rows    = 2
	columns = 2
)

const (
	// fileMode is the permission mode of the image file.
	fileMode = 0o644
	// headroom is the factor by which a panel's Y axis exceeds the data, to leave space for the legend.
	headroom = 1.2
)

// panel is one diagram, which plots a measure for each second of the run.
type panel struct {
	title string
	unit  string
	value func(*report.Second) (float64, bool)
}

func panels() [rows][columns]panel {
	return [rows][columns]panel{
		{
			{"Cache reuse", "share of the oracle", shareOfOracle},
			{"Load skew", "highest in flight over mean", func(s *report.Second) (float64, bool) {
				return s.HighestOverMean, s.HighestOverMean > 0
			}},
		},
		{
			{"First byte, p99", "ms from scheduled time", func(s *report.Second) (float64, bool) {
				return s.FirstByteP99, s.OK > 0
			}},
			{"Refused or lost", "share of requests", func(s *report.Second) (float64, bool) {
				return float64(s.RateRefused+s.Lost) / float64(max(1, s.Requests)), s.Requests > 0
			}},
		},
	}
}

func shareOfOracle(s *report.Second) (float64, bool) {
	return float64(s.CachedTokens) / float64(max(1, s.OracleTokens)), s.OracleTokens > 0
}

// Write plots the results, one line per result, to the file at path. The extension .png or .svg selects the format.
func Write(path string, results []*report.Result) error {
	picture, err := render(path, results)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if _, err := picture.WriteTo(&out); err != nil {
		return errors.Wrapf(err, "encode plot %s", path)
	}
	return errors.Wrap(os.WriteFile(path, out.Bytes(), fileMode), "write plot")
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
		return nil, errors.Errorf("plot %s: file name must end in .png or .svg", path)
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
			chart, err := p.plot(results)
			if err != nil {
				return err
			}
			grid[i] = append(grid[i], chart)
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
	chart := plot.New()
	chart.Title.Text = p.title
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = p.unit
	chart.Y.Min = 0
	chart.Legend.Top = true
	chart.Add(plotter.NewGrid())
	for i, r := range results {
		line, err := plotter.NewLine(p.points(r))
		if err != nil {
			return nil, errors.Wrapf(err, "draw %s of %s", p.title, r.Label)
		}
		line.Color = plotutil.Color(i) //nolint:misspell // the library spells it so
		line.Dashes = plotutil.Dashes(i)
		chart.Add(line)
		chart.Legend.Add(r.Fleet+"/"+r.Label, line)
	}
	chart.Y.Max *= headroom
	return chart, nil
}

// points returns the values to plot, and always at least one point, because a line needs one.
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
