package aggregator

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// WriteTable writes a day with a line for each step. Values that are zero are left blank.
func WriteTable(out io.Writer, day Day) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	// Writing into a tabwriter fails only when it is flushed.
	_, _ = fmt.Fprint(w, "FROM\t")
	for _, m := range Measures {
		_, _ = fmt.Fprint(w, m.Name, "\t")
	}
	for i, row := range day.Rows {
		_, _ = fmt.Fprint(w, "\n", day.startOf(i).UTC().Format("15:04:05"), "\t")
		for _, value := range row {
			text := ""
			if value != 0 {
				text = strconv.FormatFloat(value, 'f', 0, 64)
			}
			_, _ = fmt.Fprint(w, text, "\t")
		}
	}
	_, _ = fmt.Fprintln(w)
	return w.Flush()
}
