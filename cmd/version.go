package cmd

import (
	"runtime"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

const versionHelp = `Print the version, the commit and the Go version of this binary.

Exit codes: 0 success; 2 wrong usage.`

type versionCommand struct{ env *Environment }

func addVersion(parent *flags.Command, env *Environment) error {
	return add(parent, "version", "Print the version", versionHelp, &versionCommand{env: env})
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	version, commit := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, setting := range info.Settings {
			switch {
			case setting.Key == "vcs.revision":
				commit = setting.Value
			case setting.Key == "vcs.modified" && setting.Value == "true":
				commit += " with changes"
			}
		}
	}
	c.env.stdoutf("damaskpick %s, commit %s, %s\n", version, commit, runtime.Version())
	return nil
}
