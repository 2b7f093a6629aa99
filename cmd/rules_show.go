package cmd

import (
	"context"
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

const rulesShowHelp = `Print the rule file in effect on a node, and its version on standard error. The version is the base of the next draft.

Exit codes: 0 success; 1 when the request to the node fails, or the node has no rule file; 2 wrong usage.`

type rulesShowCommand struct {
	nodeOptions
	Out flags.Filename `long:"out" short:"o" value-name:"FILE" description:"Write the rule file to FILE"`
	env *Environment
}

func addRulesShow(parent *flags.Command, env *Environment) error {
	return add(parent, "show", "Print the rule file in effect", rulesShowHelp, &rulesShowCommand{env: env})
}

// Execute implements flags.Commander.
func (c *rulesShowCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	node, err := c.requester()
	if err != nil {
		return err
	}
	rules, err := node.Rules(context.Background())
	if err != nil {
		return err
	}
	if rules.Version == 0 {
		return errors.New("no rule file is in effect on the node; publish the first one with --base 0")
	}
	c.env.stderrf("version %d\n", rules.Version)
	if c.Out == "" {
		c.env.stdoutf("%s", rules.Text)
		return nil
	}
	return os.WriteFile(string(c.Out), []byte(rules.Text), 0o644)
}
