package report

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
)

// cellPadding is the number of spaces between two columns of a text table.
const cellPadding = 2

// Table is a table of text cells with a header. Every row has as many cells as
// the header.
type Table struct {
	Header []string
	Rows   [][]string
}

// RowError reports a row whose number of cells differs from the header's.
type RowError struct {
	// Cells is the number of cells in the row, Columns that in the header.
	Cells, Columns int
}

// Error implements error.
func (e *RowError) Error() string {
	return fmt.Sprintf("row of %d cells in a table of %d columns", e.Cells, e.Columns)
}

// NewTable returns an empty table with the given header.
func NewTable(header ...string) *Table { return &Table{Header: header} }

// Add appends a row. It returns a *RowError if the number of cells differs from
// the header's.
func (t *Table) Add(cells ...string) error {
	if len(cells) != len(t.Header) {
		return &RowError{Cells: len(cells), Columns: len(t.Header)}
	}
	t.Rows = append(t.Rows, cells)
	return nil
}

// WriteText writes the table as text with aligned columns. Errors are the
// writer's.
func (t *Table) WriteText(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, cellPadding, ' ', 0)
	for _, row := range append([][]string{t.Header}, t.Rows...) {
		if _, err := fmt.Fprintln(tab, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return tab.Flush()
}

// WriteCSV writes the table as comma-separated values. Errors are the writer's.
func (t *Table) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	if err := out.Write(t.Header); err != nil {
		return err
	}
	return out.WriteAll(t.Rows)
}

// WriteMarkdown writes the table as a Markdown table. Errors are the writer's.
func (t *Table) WriteMarkdown(w io.Writer) error {
	separator := make([]string, len(t.Header))
	for i := range separator {
		separator[i] = "---"
	}
	for _, row := range append([][]string{t.Header, separator}, t.Rows...) {
		if _, err := fmt.Fprintf(w, "| %s |\n", strings.Join(row, " | ")); err != nil {
			return err
		}
	}
	return nil
}

// SaveCSV writes the table to a CSV file and creates its directory if
// necessary. Errors are those of package os.
func (t *Table) SaveCSV(path string) (err error) {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	return t.WriteCSV(f)
}

// dirMode is the mode of directories created for results.
const dirMode = 0o755
