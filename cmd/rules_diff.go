package cmd

import (
	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/rules/differ"
)

const rulesDiffHelp = `Print the rules that differ between two files, with "- " for the first and "+ " for the second. Comments and the order of
lines are ignored. No node is contacted.

Exit codes: 0 when the rules are the same; 1 when a file cannot be read; 5 when a file has findings; 8 when the rules differ.`

type rulesDiffCommand struct {
	Positional struct {
		Before flags.Filename `positional-arg-name:"BEFORE" required:"true"`
		After  flags.Filename `positional-arg-name:"AFTER" required:"true"`
	} `positional-args:"true"`
	env *Environment
}

func addRulesDiff(parent *flags.Command, env *Environment) error {
	return add(parent, "diff", "Compare two rule files", rulesDiffHelp, &rulesDiffCommand{env: env})
}

// Execute implements flags.Commander.
func (c *rulesDiffCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	before, beforeErr := readRules(string(c.Positional.Before))
	after, afterErr := readRules(string(c.Positional.After))
	if failures := nonNilErrors(beforeErr, afterErr); len(failures) > 0 {
		return mergeFindings(failures)
	}
	changes := differ.Diff(before, after)
	for _, change := range changes {
		c.env.stdoutf("%s\n", change)
	}
	if len(changes) > 0 {
		return exitError{code: ExitDiffers}
	}
	return nil
}

func nonNilErrors(errs ...error) []error {
	failures := make([]error, 0, len(errs))
	for _, err := range errs {
		if err != nil {
			failures = append(failures, err)
		}
	}
	return failures
}
