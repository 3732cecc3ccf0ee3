package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/wardspool/wardspool/plugins/slots/lease"
	"github.com/wardspool/wardspool/plugins/slots/probe"
)

// table is a list of cells to measure, with the title under which the results
// are written.
type table struct {
	title string
	cells []cell
}

// tables are the tables that can be selected on the command line, by name.
var tables = map[string]table{
	"policies": {title: "Policies at 2, 8 and 24 instances", cells: policyCells()},
	"lagos":    {title: "Short outputs after long prompts", cells: lagosCells()},
	"faults":   {title: "With the first engine's grantor failing, at load 1.0", cells: faultCells()},
	"probe":    {title: "The margin of slots.probe, 8 instances", cells: probeCells()},
	"queue":    {title: "How long an ask may wait at the grantor, 24 instances", cells: queueCells()},
	"renew":    {title: "How often leases are renewed, 24 instances", cells: renewCells()},
	"size":     {title: "Messages as the system grows, load 1.0", cells: sizeCells()},
}

// policyCells compares all policies without faults. A single instance with
// slots.lease is the baseline.
func policyCells() []cell {
	var cells []cell
	for _, load := range []float64{0.8, 1.0, 1.2} {
		cells = append(cells, cell{policy: leaseDefault, workload: &coastline, scale: 1, instances: 1, load: load, fault: noFault})
	}
	for _, n := range []int{2, 8, 24} {
		for _, load := range []float64{0.8, 1.0, 1.2} {
			for _, p := range allPolicies {
				cells = append(cells, cell{policy: p, workload: &coastline, scale: 1, instances: n, load: load, fault: noFault})
			}
		}
	}
	return cells
}

// lagosCells compares all policies under the lagos workload.
func lagosCells() []cell {
	cells := []cell{{policy: leaseDefault, workload: &lagos, scale: 1, instances: 1, load: 1, fault: noFault}}
	for _, load := range []float64{1.0, 1.2} {
		for _, p := range allPolicies {
			cells = append(cells, cell{policy: p, workload: &lagos, scale: 1, instances: 8, load: load, fault: noFault})
		}
	}
	return cells
}

// faultCells compares all policies under each fault of the first engine's grantor.
func faultCells() []cell {
	var cells []cell
	for _, n := range []int{2, 8, 24} {
		for _, f := range []fault{killed, frozen, cutOff} {
			for _, p := range allPolicies {
				cells = append(cells, cell{policy: p, workload: &coastline, scale: 1, instances: n, load: 1, fault: f})
			}
		}
	}
	return cells
}

// probeCells compares settings of the margin of slots.probe.
func probeCells() []cell {
	var cells []cell
	for _, load := range []float64{0.8, 1.0, 1.2} {
		for _, margin := range []int{-2, -1, 1, 2, 3, 4} {
			p := probeWith(fmt.Sprintf("margin %d", margin), probe.Settings{Margin: margin})
			cells = append(cells, cell{policy: p, workload: &coastline, scale: 1, instances: 8, load: load, fault: noFault})
		}
	}
	return cells
}

// queueCells compares settings of QueueWait of slots.lease.
func queueCells() []cell {
	var cells []cell
	for _, load := range []float64{1.0, 1.2} {
		for _, wait := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
			p := leaseWith(fmt.Sprint("wait ", wait), lease.Settings{QueueWait: wait})
			cells = append(cells, cell{policy: p, workload: &coastline, scale: 1, instances: 24, load: load, fault: noFault})
		}
	}
	return cells
}

// renewCells compares settings of RenewInterval of slots.lease.
func renewCells() []cell {
	var cells []cell
	for _, f := range []fault{noFault, killed} {
		for _, every := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			p := leaseWith(fmt.Sprint("renew ", every), lease.Settings{RenewInterval: every})
			cells = append(cells, cell{policy: p, workload: &coastline, scale: 1, instances: 24, load: 1, fault: f})
		}
	}
	return cells
}

// sizeCells measures slots.lease with growing numbers of instances and engines.
func sizeCells() []cell {
	var cells []cell
	for _, size := range []struct{ instances, scale int }{{8, 1}, {24, 3}, {96, 12}} {
		cells = append(cells, cell{policy: leaseDefault, instances: size.instances, workload: &coastline, scale: size.scale, load: 1, fault: noFault})
	}
	return cells
}

// write measures a table's cells, several at a time, and writes the results as
// Markdown. Each row is also written to standard error when it is measured.
func (t table) write(to io.Writer, o options) {
	fmt.Fprintf(to, "### %s\n\n", t.title)
	fmt.Fprintln(to, "| workload | instances | engines | load | grantor | policy | utilisation | on time | refused by engine | wait p50 | wait p95 | messages a request | bytes a message | bytes/s an instance |")
	fmt.Fprintln(to, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	rows := make([]string, len(t.cells))
	next := make(chan int)
	var workers sync.WaitGroup
	for range o.Workers {
		workers.Go(func() {
			for i := range next {
				rows[i] = t.row(t.cells[i], o)
				fmt.Fprint(os.Stderr, rows[i])
			}
		})
	}
	for i := range t.cells {
		next <- i
	}
	close(next)
	workers.Wait()
	for _, row := range rows {
		fmt.Fprint(to, row)
	}
	fmt.Fprintln(to)
}

// row measures one cell with each seed and returns the results as a table row.
func (t table) row(c cell, o options) string {
	var runs []figures
	for seed := range o.Seeds {
		runs = append(runs, measure(c, uint64(seed)+1, time.Duration(o.Duration*float64(time.Second))))
	}
	return fmt.Sprintf("| %s | %d | %d | %.1f | %s | %s | %s | %s | %s | %s | %s | %s | %.0f | %.0f |\n",
		c.workload.name, c.instances, c.engines(), c.load, c.fault, c.policy.name,
		percent(runs, func(f figures) float64 { return f.utilisation }),
		percent(runs, func(f figures) float64 { return f.goodput }),
		percent(runs, func(f figures) float64 { return f.wasted }),
		spread(runs, "%.0f ms", func(f figures) float64 { return millis(f.waitMedian) }),
		spread(runs, "%.0f ms", func(f figures) float64 { return millis(f.waitTail) }),
		spread(runs, "%.2f", func(f figures) float64 { return f.messages }),
		mean(runs, func(f figures) float64 { return f.bytes }),
		mean(runs, func(f figures) float64 { return f.bytesPerNode }))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// mean returns the mean of a value over the runs.
func mean(runs []figures, of func(figures) float64) float64 {
	sum := 0.0
	for _, f := range runs {
		sum += of(f)
	}
	return sum / float64(len(runs))
}

// spread formats the mean of a value over the runs, followed by its minimum and
// maximum in brackets unless they are equal when formatted.
func spread(runs []figures, format string, of func(figures) float64) string {
	lo, hi := of(runs[0]), of(runs[0])
	for _, f := range runs {
		lo, hi = min(lo, of(f)), max(hi, of(f))
	}
	text := fmt.Sprintf(format, mean(runs, of))
	if low, high := fmt.Sprintf(format, lo), fmt.Sprintf(format, hi); low != high {
		text += fmt.Sprintf(" ("+format+"–"+format+")", lo, hi)
	}
	return text
}

// percent formats a fraction like spread, in per cent.
func percent(runs []figures, of func(figures) float64) string {
	return spread(runs, "%.1f%%", func(f figures) float64 { return 100 * of(f) })
}
