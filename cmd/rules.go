package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/rules/parser"
)

func addRules(parent *flags.Command, env *Environment) error {
	group, err := parent.AddCommand("rules", "Work with the rule file", "Check, compare, publish and show rule files.", &struct{}{})
	if err != nil {
		return err
	}
	for _, addOne := range []adder{addRulesCheck, addRulesDiff, addRulesPublish, addRulesShow} {
		if err := addOne(group, env); err != nil {
			return err
		}
	}
	return nil
}

// readRules reads and parses a rule file. The returned rules include its text.
func readRules(name string) (modeler.Rules, error) {
	file, err := os.Open(name)
	if err != nil {
		return modeler.Rules{}, fmt.Errorf("read rules: %w", err)
	}
	defer func() { _ = file.Close() }()
	// The parser rejects a file above its limit, so one byte more than the limit is enough.
	data, err := io.ReadAll(io.LimitReader(file, parser.MaxBytes+1))
	if err != nil {
		return modeler.Rules{}, fmt.Errorf("read rules: %w", err)
	}
	return parser.Parse(name, string(data))
}
