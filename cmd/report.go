package cmd

import (
	"bytes"
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/telemetry/aggregator"
	"damaskpick.example/damaskpick/internal/telemetry/reporter"
)

const reportHelp = `Print the burn rates of service level objectives by member and length class: of one node, or the sum over several nodes with --also.
With --picture, a chart is written to a file, as PNG if the name ends in .png and as SVG otherwise.

With --day, the logs of all nodes are read from standard input, and no node is contacted. The table has one line for each time step: how
requests ended, the 95th percentile of the time to the first event of a response in ms by length class, and the counts of repeats and of
fleet events.

Exit codes: 0 success; 1 when the requests to all nodes fail, the logs contain no request or a file cannot be written; 2 wrong usage.`

type reportCommand struct {
	nodeOptions
	Also    []string       `long:"also" value-name:"URL" description:"Base URL of a further node; may be repeated"`
	Picture flags.Filename `long:"picture" short:"p" value-name:"FILE" description:"Write a chart of the report to FILE"`
	Day     bool           `long:"day" description:"Summarise the logs of all nodes from standard input"`
	Step    time.Duration  `long:"step" value-name:"DURATION" description:"Length of the time step for one line of --day; the default fits a screen"`
	env     *Environment
}

func addReport(parent *flags.Command, env *Environment) error {
	return add(parent, "report", "Print the burn rates of service level objectives", reportHelp, &reportCommand{env: env})
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	if c.Day {
		return c.reportDay()
	}
	node, err := c.requester()
	if err != nil {
		return err
	}
	report, err := node.Reports(context.Background(), c.Also...)
	if err != nil && len(report.Rows) == 0 {
		return err
	}
	if err != nil {
		c.env.stderrf("damaskpick: the report lacks nodes that did not answer: %v\n", err)
	}
	var table bytes.Buffer
	if err := reporter.WriteTable(&table, report); err != nil {
		return err
	}
	c.env.stdoutf("%s", table.String())
	if c.Picture == "" {
		return nil
	}
	return writeChart(string(c.Picture), func(out io.Writer, format string) error { return reporter.WriteChart(out, report, format) })
}

// reportDay summarises the logs on standard input.
func (c *reportCommand) reportDay() error {
	day, err := aggregator.Read(c.env.In, c.Step)
	if err != nil {
		return err
	}
	var table bytes.Buffer
	if err := aggregator.WriteTable(&table, day); err != nil {
		return err
	}
	c.env.stdoutf("%s", table.String())
	if c.Picture == "" {
		return nil
	}
	return writeChart(string(c.Picture), func(out io.Writer, format string) error { return aggregator.WriteChart(out, day, format) })
}

// writeChart writes a chart to a file: as PNG if the name ends in .png, as SVG otherwise.
func writeChart(path string, drawChart func(out io.Writer, format string) error) error {
	format := "svg"
	if strings.HasSuffix(path, ".png") {
		format = "png"
	}
	var picture bytes.Buffer
	if err := drawChart(&picture, format); err != nil {
		return err
	}
	return os.WriteFile(path, picture.Bytes(), 0o644)
}
