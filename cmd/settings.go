package cmd

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/findings/collector"
	fleet "damaskpick.example/damaskpick/internal/fleet/loader"
	"damaskpick.example/damaskpick/internal/settings/loader"
)

const settingsCheckHelp = `Check settings files and print every finding as FILE:LINE:COLUMN: FIELD: REASON. Nothing is started, and files that
the settings name are not opened. With --fleet, the files are settings of nodes on the users' platform.

Exit codes: 0 when all files are valid; 1 when a file cannot be read; 5 when a file has findings.`

func addSettings(parent *flags.Command, env *Environment) error {
	group, err := parent.AddCommand("settings", "Work with settings", "Work with settings of nodes.", &struct{}{})
	if err != nil {
		return err
	}
	return add(group, "check", "Check settings files", settingsCheckHelp, &settingsCheckCommand{env: env})
}

type settingsCheckCommand struct {
	Positional struct {
		Files []flags.Filename `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
	Fleet bool `long:"fleet" description:"The files are settings of nodes on the users' platform"`
	env   *Environment
}

// Execute implements flags.Commander. It checks all files, also after a failure; see mergeFindings for the error.
func (c *settingsCheckCommand) Execute([]string) error {
	var failures []error
	check := checkNode
	if c.Fleet {
		check = checkFleet
	}
	for _, file := range c.Positional.Files {
		summary, err := check(string(file))
		if err != nil {
			failures = append(failures, err)
			continue
		}
		c.env.stdoutf("%s: valid, %s\n", file, summary)
	}
	return mergeFindings(failures)
}

func checkNode(file string) (string, error) {
	settings, err := loader.Load(file)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("node %s in %s with %d endpoints and %d credentials",
		settings.Node.Name, settings.Node.DataCentre, len(settings.Endpoints), len(settings.Credentials)), nil
}

func checkFleet(file string) (string, error) {
	settings, err := fleet.Load(file)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("node %s in %s of %s", settings.Node.Name, settings.Node.DataCentre, settings.Node.Region), nil
}

// mergeFindings joins the findings of several files into one FindingsError. If an error of another kind is among the failures, it joins all of
// them with errors.Join instead. It returns nil without failures.
func mergeFindings(failures []error) error {
	var merged collector.FindingsError
	for _, err := range failures {
		var findings collector.FindingsError
		if !errors.As(err, &findings) {
			return errors.Join(failures...)
		}
		merged.Findings = append(merged.Findings, findings.Findings...)
		merged.Omitted += findings.Omitted
	}
	if len(failures) == 0 {
		return nil
	}
	return merged
}
