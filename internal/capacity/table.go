package main

import (
	"strconv"
	"time"

	"github.com/wardspool/wardspool/report"
)

// plannedInstances is the number of instances in the planned deployment.
const plannedInstances = 410

// column is one column of the table, computed from a row.
type column struct {
	name     string
	value    func(*row) float64
	decimals int
}

// columns are the measures printed in the table. All but the first are fitted.
var columns = []column{
	{"load average", func(r *row) float64 { return r.loadAverage }, 1},
	{"cpu mean %", func(r *row) float64 { return r.cpuMean }, 3},
	{"cpu max %", func(r *row) float64 { return r.cpuMax }, 3},
	{"rss mean MB", func(r *row) float64 { return r.rssMean }, 1},
	{"rss max MB", func(r *row) float64 { return r.rssMax }, 1},
	{"rss peak MB", func(r *row) float64 { return r.rssPeak }, 1},
	{"peers B/s", func(r *row) float64 { return r.peers }, 0},
	{"engines B/s", func(r *row) float64 { return r.engines }, 0},
	{"platform B/s", func(r *row) float64 { return r.platform }, 0},
	{"control B/s mean", func(r *row) float64 { return r.bytes() }, 0},
	{"control B/s max", func(r *row) float64 { return r.bytesMax }, 0},
	{"feed B/s (loopback)", func(r *row) float64 { return r.feed }, 0},
	{"platform calls/s, all", func(r *row) float64 { return r.platformCalls }, 2},
	{"platform calls, busiest second", func(r *row) float64 { return float64(r.platformCallsPeak) }, 0},
	{"partners", func(r *row) float64 { return r.partners }, 1},
	{"heartbeat interval s", func(r *row) float64 { return r.heartbeatInterval.Seconds() }, 2},
	{"in force ms, slowest", func(r *row) float64 { return float64(r.inForce) / float64(time.Millisecond) }, 0},
	{"cpu ms per change", func(r *row) float64 { return float64(r.changeCPU) / float64(time.Millisecond) }, 0},
	{"bytes per change", func(r *row) float64 { return r.changeBytes }, 0},
}

// table formats the rows as a table.
func table(rows []row) (*report.Table, error) {
	header := []string{"agents", "simulated", "zones", "upstreams"}
	for _, c := range columns {
		header = append(header, c.name)
	}
	t := report.NewTable(header...)
	for i := range rows {
		r := &rows[i]
		cells := []string{strconv.Itoa(r.agents), strconv.Itoa(r.simulated), strconv.Itoa(r.zones), strconv.Itoa(r.upstreams)}
		for _, c := range columns {
			cells = append(cells, report.Fixed(c.value(r), c.decimals))
		}
		if err := t.Add(cells...); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// fit is a least-squares line through measured points.
type fit struct {
	slope, intercept float64
	// r2 is the coefficient of determination.
	r2 float64
}

// at returns the line's value at x.
func (f fit) at(x float64) float64 { return f.intercept + f.slope*x }

// fitLine fits a line by least squares. If all x are equal, the line is horizontal at
// the mean of y.
func fitLine(x, y []float64) fit {
	n := float64(len(x))
	var sx, sy, sxx, sxy, syy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
		syy += y[i] * y[i]
	}
	dx, dy, dxy := n*sxx-sx*sx, n*syy-sy*sy, n*sxy-sx*sy
	if dx == 0 {
		return fit{intercept: sy / n}
	}
	f := fit{slope: dxy / dx}
	f.intercept = (sy - f.slope*sx) / n
	if dy > 0 {
		f.r2 = dxy * dxy / (dx * dy)
	}
	return f
}

// fits fits a line to each measure over the number of agents, and extrapolates it to
// the planned fleet size.
func fits(rows []row) (*report.Table, error) {
	t := report.NewTable("measure", "slope per agent", "at 0", "R2", "line at 410")
	x := make([]float64, len(rows))
	for i := range rows {
		x[i] = float64(rows[i].agents)
	}
	for _, c := range columns[1:] {
		y := make([]float64, len(rows))
		for i := range rows {
			y[i] = c.value(&rows[i])
		}
		f := fitLine(x, y)
		err := t.Add(c.name, report.Fixed(f.slope, 4), report.Fixed(f.intercept, 2),
			report.Fixed(f.r2, 3), report.Fixed(f.at(plannedInstances), 2))
		if err != nil {
			return nil, err
		}
	}
	return t, nil
}
