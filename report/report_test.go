package report

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTable checks the text, Markdown and CSV output, and that a row with the
// wrong number of cells is rejected.
func TestTable(t *testing.T) {
	table := NewTable("name", "n")
	assert.NilError(t, table.Add("short", "1"))
	assert.NilError(t, table.Add("much longer", "20"))
	var rowErr *RowError
	assert.Assert(t, errors.As(table.Add("one cell"), &rowErr))

	var text bytes.Buffer
	assert.NilError(t, table.WriteText(&text))
	assert.Equal(t, text.String(), "name         n\nshort        1\nmuch longer  20\n")

	text.Reset()
	assert.NilError(t, table.WriteMarkdown(&text))
	assert.Equal(t, text.String(), "| name | n |\n| --- | --- |\n| short | 1 |\n| much longer | 20 |\n")

	path := filepath.Join(t.TempDir(), "sub", "t.csv")
	assert.NilError(t, table.SaveCSV(path))
	got, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "name,n\nshort,1\nmuch longer,20\n")
}

// TestHist checks the percentiles, including those of an empty histogram and of
// a duration beyond the range.
func TestHist(t *testing.T) {
	h := NewHist()
	assert.Equal(t, h.Quantile(99), time.Duration(0))
	for i := 1; i <= 100; i++ {
		h.Record(time.Duration(i) * time.Millisecond)
	}
	h.Record(time.Hour)
	assert.Equal(t, h.Count(), int64(101))
	got := h.Quantile(50)
	assert.Assert(t, got >= 50*time.Millisecond && got <= 52*time.Millisecond, "median %s", got)
	assert.Assert(t, h.Quantile(100) >= 9*time.Minute)
}

// TestSavePanels draws a grid whose last row is not full.
func TestSavePanels(t *testing.T) {
	base := filepath.Join(t.TempDir(), "plot")
	panel := Panel{Title: "a", XLabel: "x", YLabel: "y", Lines: []Line{
		{Name: "one", Points: []Point{{X: 1, Y: 2}, {X: 2, Y: 3}}},
	}}
	assert.NilError(t, SavePanels(base, 2, []Panel{panel, panel, panel}))
	for _, ext := range []string{".svg", ".png"} {
		info, err := os.Stat(base + ext)
		assert.NilError(t, err)
		assert.Assert(t, info.Size() > 0)
	}
}

func TestFormat(t *testing.T) {
	assert.Equal(t, Share(1, 3), "0.3333")
	assert.Equal(t, Share(1, 0), "0.0000")
	assert.Equal(t, Millis(1234567*time.Nanosecond), "1.2")
}
