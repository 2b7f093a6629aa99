package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/fleet/listener"
)

const explainHelp = `Asks a running node of the fleet where a request would go now, and why. Nothing is sent to an endpoint and nothing is changed.

The node compares the endpoints as it does for a real request, or asks the node that places requests. The page shows the verdict (Place, Wait or Refuse), the
best candidates with the parts of their cost, and why the other endpoints are left out: Out, Draining, Misdirected, Avoided, Paused, ColdLimit, Tried, or
NotSampled in a large fleet. Costs are in units of a short request; lower is better.

Exit codes: 0 the node has answered, also with Refuse; 1 the node cannot be asked, has no configuration or knows no such route; 2 wrong usage.`

type explainCommand struct {
	env      *Environment
	Node     string        `long:"node" short:"n" value-name:"ADDRESS" required:"true" description:"IP:port of a node's metrics"`
	Host     string        `long:"host" value-name:"HOST" required:"true" description:"Host of the request"`
	Path     string        `long:"path" value-name:"PATH" required:"true" description:"Path of the request"`
	Member   string        `long:"member" value-name:"NAME" description:"Member whose request it is"`
	Prompt   int64         `long:"prompt" value-name:"TOKENS" description:"Length of the prompt"`
	Output   int64         `long:"output" value-name:"TOKENS" description:"Most tokens of the answer"`
	Priority string        `long:"priority" value-name:"N" description:"Priority; the default is that of the route"`
	ID       string        `long:"id" value-name:"ID" description:"Id of the request"`
	Here     bool          `long:"here" description:"Do not ask the node that places requests"`
	JSON     bool          `long:"json" description:"Print the answer of the node as JSON"`
	Timeout  time.Duration `long:"timeout" default:"5s" value-name:"DURATION" description:"Longest time for the answer"`
}

func addExplain(parent *flags.Command, env *Environment) error {
	return add(parent, "explain", "Say where a request would go now, without sending it", explainHelp, &explainCommand{env: env})
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if c.Prompt < 0 || c.Output < 0 {
		return &flags.Error{Type: flags.ErrMarshal, Message: "--prompt and --output must not be negative"}
	}
	if _, err := strconv.Atoi(c.Priority); c.Priority != "" && err != nil {
		return &flags.Error{Type: flags.ErrMarshal, Message: "--priority must be a number"}
	}
	body, err := c.ask()
	if err != nil {
		return err
	}
	if c.JSON {
		c.env.stdoutf("%s\n", strings.TrimSpace(string(body)))
		return nil
	}
	var page explanationPage
	if err := json.Unmarshal(body, &page); err != nil {
		return fmt.Errorf("read the explanation of %s: %w", c.Node, err)
	}
	c.env.stdoutf("%s", page)
	return nil
}

// maxExplanationBytes bounds the answer of a node.
const maxExplanationBytes = 1 << 20

func (c *explainCommand) ask() (_ []byte, err error) {
	query := url.Values{
		"Host": {c.Host}, "Path": {c.Path}, "Member": {c.Member}, "Prompt": {strconv.FormatInt(c.Prompt, 10)}, "Output": {strconv.FormatInt(c.Output, 10)},
		"Priority": {c.Priority}, "ID": {c.ID},
	}
	if c.Here {
		query.Set("Here", "1")
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Node+listener.ExplainPath+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return nil, &flags.Error{Type: flags.ErrMarshal, Message: fmt.Sprintf("--node %q is not an IP:port", c.Node)}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("node %s does not answer: %w", c.Node, errors.Unwrap(err))
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, fmt.Errorf("read the answer of %s: %w", c.Node, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("node %s answers %s: %s", c.Node, response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// explanationPage is the part of a node's explanation that the page shows.
type explanationPage struct {
	AskedNode, Node, Note, Route, Service, Verdict, Cause, Reason, Endpoint string
	Coordinates                                                             bool
	RetryAfterMs, RefusedAfterMs, ExpectedMs                                float64
	Helpers                                                                 []string
	Compared                                                                int
	Candidates                                                              []explainedCandidate
	Excluded                                                                []struct{ Endpoint, Reason string }
}

type explainedCandidate struct {
	Endpoint, DataCentre, Why                                                           string
	Running, Slots                                                                      int
	BacklogMs, WorkMs, Pace, FailureRate, Interference, LateLoss, OtherCost, ExpectedMs float64
	Usable                                                                              bool
}

// String returns the page.
func (p explanationPage) String() string {
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	line("Asked %s; compared by %s. Route %s, service %s.", p.AskedNode, p.Node, p.Route, p.Service)
	if p.Note != "" {
		line("Note: %s.", p.Note)
	}
	switch p.Verdict {
	case "Place":
		line("Place: on %s, first event or answer expected after %.0f ms.", p.Endpoint, p.ExpectedMs)
	case "Refuse":
		line("Refuse: %s, retry after %.0f ms.", p.Reason, p.RetryAfterMs)
	default:
		line("%s: %s. Refused after %.0f ms if nothing changes.", p.Verdict, p.Cause, p.RefusedAfterMs)
		if p.Endpoint != "" {
			line("Best plan so far: %s, expected after %.0f ms.", p.Endpoint, p.ExpectedMs)
		}
	}
	if len(p.Helpers) > 0 {
		line("Helpers: %s.", strings.Join(p.Helpers, ", "))
	}
	line("")
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	row("CANDIDATE\tDATA CENTRE\tRUNNING\tBACKLOG\tWORK\tPACE\tFAILURES\tEXPECTED\tTO OTHERS\tLATE\tOTHER\tCOST")
	for _, c := range p.Candidates {
		if !c.Usable {
			row("%s\t%s\t%d of %d\t%.0f ms\t%.0f ms\t%.1f\t%.2f\t%s", c.Endpoint, c.DataCentre, c.Running, c.Slots, c.BacklogMs, c.WorkMs, c.Pace, c.FailureRate, c.Why)
			continue
		}
		row("%s\t%s\t%d of %d\t%.0f ms\t%.0f ms\t%.1f\t%.2f\t%.0f ms\t%.3f\t%.3f\t%.3f\t%.3f", c.Endpoint, c.DataCentre, c.Running, c.Slots, c.BacklogMs, c.WorkMs,
			c.Pace, c.FailureRate, c.ExpectedMs, c.Interference, c.LateLoss, c.OtherCost, c.Interference+c.LateLoss+c.OtherCost)
	}
	// Writes to a strings.Builder do not fail.
	_ = table.Flush()
	if rest := p.Compared - len(p.Candidates); rest > 0 {
		line("and %d more candidates", rest)
	}
	for _, excluded := range p.Excluded {
		line("left out: %s (%s)", excluded.Endpoint, excluded.Reason)
	}
	return b.String()
}
