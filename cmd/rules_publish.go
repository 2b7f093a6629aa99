package cmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/operator/presenter"
	"damaskpick.example/damaskpick/internal/operator/requester"
	"damaskpick.example/damaskpick/internal/rules/publisher"
)

const rulesPublishHelp = `Publish a rule file. The base is the version that the draft was made from, as rules show prints it, or 0 for the first rule file. Of
two drafts with the same base, the first in the log takes effect; the other operator gets the conflicting lines. "Accepted" means
that the rule file was read back from the log.

When the outcome is unknown, repeat the command with the publish id that it printed: the draft then takes effect at most once.

Exit codes: 0 accepted; 1 when the node cannot be reached or refuses the draft; 2 wrong usage; 5 when the rule file has findings; 6
when another rule file with the same base was published first; 7 when the outcome is unknown.`

type rulesPublishCommand struct {
	nodeOptions
	Base       *int64 `long:"base" short:"b" required:"true" value-name:"VERSION" description:"Version that the draft was made from"`
	PublishID  string `long:"publish-id" value-name:"ID" description:"Publish id of an earlier attempt; the default is a new one"`
	Positional struct {
		File flags.Filename `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
	env *Environment
}

func addRulesPublish(parent *flags.Command, env *Environment) error {
	return add(parent, "publish", "Publish a rule file", rulesPublishHelp, &rulesPublishCommand{env: env})
}

// Execute implements flags.Commander.
func (c *rulesPublishCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	file := string(c.Positional.File)
	rules, err := readRules(file)
	if err != nil {
		return err
	}
	if c.PublishID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return err
		}
		c.PublishID = id.String()
	}
	node, err := c.requester()
	if err != nil {
		return err
	}
	c.env.stderrf("publish id %s\n", c.PublishID)
	publication, err := node.Publish(context.Background(), presenter.Draft{PublishID: c.PublishID, Base: *c.Base, Text: rules.Text})
	if err != nil {
		return c.publishError(err)
	}
	return c.reportOutcome(publication)
}

// publishError returns the error for a failed request: a general failure if the draft cannot have reached the log, otherwise an exitError with
// ExitUnknown.
func (c *rulesPublishCommand) publishError(err error) error {
	var status requester.StatusError
	if requester.NeverSent(err) || errors.As(err, &status) && status.Status < 500 {
		return fmt.Errorf("not published: %w", err)
	}
	return c.unknownOutcomeError(err)
}

func (c *rulesPublishCommand) unknownOutcomeError(cause error) error {
	return exitError{ExitUnknown, fmt.Errorf("publish outcome unknown, the draft may have been published; repeat with --base %d --publish-id %s: %w",
		*c.Base, c.PublishID, cause)}
}

// reportOutcome prints the outcome that the node returned, or returns it as an error.
func (c *rulesPublishCommand) reportOutcome(p presenter.Publication) error {
	switch p.Outcome {
	case publisher.Accepted.String():
		c.env.stdoutf("accepted as version %d\n", p.Version)
		return nil
	case publisher.Conflicting.String():
		c.printConflict(p)
		return exitError{ExitConflict, fmt.Errorf("not published: version %d by %s is in effect, and the draft was made from version %d",
			p.Version, p.Author, *c.Base)}
	case presenter.OutcomeRefused:
		if len(p.Findings) > 0 {
			return p.FindingsError(string(c.Positional.File))
		}
		return fmt.Errorf("not published: %s", p.Reason)
	default:
		return c.unknownOutcomeError(errors.New(p.Reason))
	}
}

func (c *rulesPublishCommand) printConflict(p presenter.Publication) {
	conflicting := map[string]bool{}
	for _, conflict := range p.Conflicts {
		conflicting[conflict.Identity] = true
		c.env.stdoutf("conflict in %s\n  base    %s\n  yours   %s\n  theirs  %s\n", conflict.Identity,
			lineOrNone(conflict.Base), lineOrNone(conflict.Ours), lineOrNone(conflict.Theirs))
	}
	for _, change := range p.Changes {
		if !conflicting[change.Identity] {
			c.env.stdoutf("changed since in %s\n  base    %s\n  theirs  %s\n", change.Identity, lineOrNone(change.Before), lineOrNone(change.After))
		}
	}
}

func lineOrNone(text string) string {
	if text == "" {
		return "(no line)"
	}
	return text
}
