package reporter

import (
	"bytes"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteTable writes the report as aligned text, one line for each objective and window.
func WriteTable(w io.Writer, report Report) error {
	var out bytes.Buffer
	table := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	// Writes to a buffer do not fail.
	_, _ = fmt.Fprintln(table, "MEMBER\tCLASS\tOBJECTIVE\tTARGET\tWINDOW\tCOVERED\tGOOD\tTOTAL\tBUDGET LEFT\tBURN RATE")
	for _, row := range report.Rows {
		for _, window := range row.Windows {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.2f%%\t%s\t%s\t%d\t%d\t%.1f%%\t%.2f\n",
				row.Member, row.Class, row.Objective, 100*row.Target, windowName(window.Length.Std()),
				window.Covered.Std().Round(time.Second), window.Good, window.Total, 100*window.BudgetLeft, window.BurnRate)
		}
	}
	_ = table.Flush()
	_, err := out.WriteTo(w)
	return err
}

// windowName returns a length in its largest unit, such as "5m" or "3d".
func windowName(length time.Duration) string {
	switch {
	case length%(24*time.Hour) == 0:
		return fmt.Sprintf("%dd", length/(24*time.Hour))
	case length%time.Hour == 0:
		return fmt.Sprintf("%dh", length/time.Hour)
	case length%time.Minute == 0:
		return fmt.Sprintf("%dm", length/time.Minute)
	default:
		return length.String()
	}
}
