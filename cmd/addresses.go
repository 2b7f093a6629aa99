package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/jessevdk/go-flags"
)

const addressesHelp = `Print as JSON the node addresses that callers may use, and how long callers may cache them.

Exit codes: 0 success; 1 when the request to the node fails; 2 wrong usage.`

type addressesCommand struct {
	nodeOptions
	env *Environment
}

func addAddresses(parent *flags.Command, env *Environment) error {
	return add(parent, "addresses", "Print the node addresses for callers", addressesHelp, &addressesCommand{env: env})
}

// Execute implements flags.Commander.
func (c *addressesCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	node, err := c.requester()
	if err != nil {
		return err
	}
	body, err := node.Get(context.Background(), "/v1/addresses", nil)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, bytes.TrimSpace(body), "", "  "); err != nil {
		return fmt.Errorf("format addresses: response is not JSON: %w", err)
	}
	c.env.stdoutf("%s\n", indented.String())
	return nil
}
