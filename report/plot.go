package report

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// legendHeadroom is the free space above the highest point, as a fraction of its
// value.
const legendHeadroom = 0.25

// Point is a point of a line.
type Point struct{ X, Y float64 }

// Line is a named series of points.
type Line struct {
	Name   string
	Points []Point
}

// Panel is one line chart of an image.
type Panel struct {
	Title  string
	XLabel string
	YLabel string
	Lines  []Line
	// LegendLeft places the legend at the top left instead of the top right.
	LegendLeft bool
}

// Size of a panel in an image.
const (
	panelWidth  = 14 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
)

// SavePanels draws panels in a grid with the given number of columns and writes
// base.svg and base.png. It creates their directory if necessary. Errors are those
// of the plot library or package os.
func SavePanels(base string, columns int, panels []Panel) error {
	if err := os.MkdirAll(filepath.Dir(base), dirMode); err != nil {
		return err
	}
	plots, err := buildPlots(columns, panels)
	if err != nil {
		return err
	}
	width := panelWidth * vg.Length(columns)
	height := panelHeight * vg.Length(len(plots))

	svg := vgsvg.New(width, height)
	drawPlots(plots, draw.New(svg))
	if err := save(base+".svg", svg); err != nil {
		return err
	}
	img := vgimg.New(width, height)
	drawPlots(plots, draw.New(img))
	return save(base+".png", vgimg.PngCanvas{Canvas: img})
}

// buildPlots converts panels to rows of plots. Unused cells of the last row are
// nil.
func buildPlots(columns int, panels []Panel) ([][]*plot.Plot, error) {
	rows := (len(panels) + columns - 1) / columns
	grid := make([][]*plot.Plot, rows)
	for r := range grid {
		grid[r] = make([]*plot.Plot, columns)
	}
	for i, panel := range panels {
		p, err := buildPlot(panel)
		if err != nil {
			return nil, err
		}
		grid[i/columns][i%columns] = p
	}
	return grid, nil
}

// buildPlot converts a panel to a plot.
func buildPlot(panel Panel) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = panel.Title
	p.X.Label.Text = panel.XLabel
	p.Y.Label.Text = panel.YLabel
	p.Legend.Top = true
	p.Legend.Left = panel.LegendLeft
	p.Add(plotter.NewGrid())
	for i, line := range panel.Lines {
		points := make(plotter.XYs, len(line.Points))
		for j, pt := range line.Points {
			points[j] = plotter.XY{X: pt.X, Y: pt.Y}
		}
		l, s, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, err
		}
		l.Color, s.Color = plotutil.Color(i), plotutil.Color(i)
		l.Dashes, s.Shape = plotutil.Dashes(i), plotutil.Shape(i)
		p.Add(l, s)
		p.Legend.Add(line.Name, l, s)
	}
	// The axis starts at 0 so that values can be compared visually; the headroom
	// is for the legend.
	p.Y.Min = 0
	p.Y.Max *= 1 + legendHeadroom
	return p, nil
}

// drawPlots draws a grid of plots on a canvas.
func drawPlots(plots [][]*plot.Plot, canvas draw.Canvas) {
	tiles := draw.Tiles{
		Rows: len(plots), Cols: len(plots[0]),
		PadX: vg.Centimeter, PadY: vg.Centimeter,
		PadTop: vg.Centimeter / 2, PadBottom: vg.Centimeter / 2,
		PadLeft: vg.Centimeter / 2, PadRight: vg.Centimeter / 2,
	}
	for r, row := range plot.Align(plots, tiles, canvas) {
		for c, tile := range row {
			if plots[r][c] != nil {
				plots[r][c].Draw(tile)
			}
		}
	}
}

// save writes an image to a file; it returns the error of Close as well.
func save(path string, image vg.CanvasWriterTo) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	_, err = image.WriteTo(f)
	return err
}
