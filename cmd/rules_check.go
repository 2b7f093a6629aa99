package cmd

import (
	"github.com/jessevdk/go-flags"
)

const rulesCheckHelp = `Check rule files and print every finding as FILE:LINE:COLUMN: DIRECTIVE: REASON. No node is contacted.

Exit codes: 0 when all files are valid; 1 when a file cannot be read; 5 when a file has findings.`

type rulesCheckCommand struct {
	Positional struct {
		Files []flags.Filename `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
	env *Environment
}

func addRulesCheck(parent *flags.Command, env *Environment) error {
	return add(parent, "check", "Check rule files", rulesCheckHelp, &rulesCheckCommand{env: env})
}

// Execute implements flags.Commander. It checks all files, also after a failure; see mergeFindings for the error.
func (c *rulesCheckCommand) Execute([]string) error {
	var failures []error
	for _, file := range c.Positional.Files {
		rules, err := readRules(string(file))
		if err != nil {
			failures = append(failures, err)
			continue
		}
		c.env.stdoutf("%s: valid, fleet of %d tokens, %d shares\n", file, rules.Fleet, len(rules.Shares))
	}
	return mergeFindings(failures)
}
