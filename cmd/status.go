package cmd

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"damaskpick.example/damaskpick/internal/operator/presenter"
)

const statusHelp = `Show the state known to a node: nodes, endpoints with their holders, and members with their shares, in one screen. Rows that need
attention come first, then nodes by name, endpoints by reserved tokens and members by used tokens, the largest first; --all shows every
row. Balances are those on the queried node.

For nodes that run 'damaskpick fleet', give the metrics address of each node with --metrics instead of --node: the page shows the role of
each node, the age of its data, how its requests ended, and the endpoints by state.

Exit codes: 0 success; 1 when the requests to all nodes fail, or when more than one node is coordinator; 2 wrong usage.`

// Maximum numbers of rows in each table without --all. Together they fit one screen.
const (
	maxNodeRows     = 10
	maxEndpointRows = 24
	maxMemberRows   = 12
)

type statusCommand struct {
	nodeOptions
	All     bool     `long:"all" short:"a" description:"Show every row"`
	Metrics []string `long:"metrics" short:"m" value-name:"ADDRESS" description:"Metrics address of a node on the users' platform; may be repeated"`
	env     *Environment
}

func addStatus(parent *flags.Command, env *Environment) error {
	return add(parent, "status", "Show nodes, endpoints and members", statusHelp, &statusCommand{env: env})
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	if len(c.Metrics) > 0 {
		return c.printMetrics()
	}
	node, err := c.requester()
	if err != nil {
		return err
	}
	status, err := node.Status(context.Background())
	if err != nil {
		return err
	}
	return c.print(status)
}

func (c *statusCommand) print(s presenter.Status) error {
	var page strings.Builder
	w := &table{tabwriter.NewWriter(&page, 0, 0, 2, ' ', 0)}
	w.printf("%s in %s at %s: %s, %d queued, %d running\n", s.Node, s.DataCentre, s.At.UTC().Format(time.RFC3339), nodeState(s), s.Queued, s.Running)
	w.printf("rules version %d: fleet of %s tokens, %d shares%s\n\n", s.Rules.Version, formatTokens(s.Rules.Fleet), s.Rules.Shares, outOfService(s.Rules))
	c.printNodes(w, s.Nodes)
	c.printEndpoints(w, s.Endpoints)
	c.printMembers(w, s.Members)
	if err := w.Flush(); err != nil {
		return err
	}
	c.env.stdoutf("%s", page.String())
	return nil
}

// table aligns columns that are separated by tabs. Writes before Flush cannot fail, because they go to memory.
type table struct{ *tabwriter.Writer }

func (t *table) printf(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }

func (c *statusCommand) printNodes(w *table, nodes []presenter.NodeStatus) {
	slices.SortStableFunc(nodes, func(a, b presenter.NodeStatus) int {
		return cmp.Or(attentionFirst(a.Phase != "Active", b.Phase != "Active"), cmp.Compare(a.ID, b.ID))
	})
	w.printf("NODE\tDATA CENTRE\tPHASE\tHEARD AGO\tHOLDS\n")
	printRows(c, w, nodes, maxNodeRows, func(n presenter.NodeStatus) string {
		phase := n.Phase
		if !n.Registered {
			phase += ", not registered"
		}
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%d", n.ID, n.DataCentre, phase, formatAge(n.HeardAgoMs), n.Holds)
	})
}

func (c *statusCommand) printEndpoints(w *table, endpoints []presenter.EndpointStatus) {
	attention := func(e presenter.EndpointStatus) bool {
		return e.Out || e.Leaving || e.Phase != "Warm" || e.Holder == ""
	}
	slices.SortStableFunc(endpoints, func(a, b presenter.EndpointStatus) int {
		return cmp.Or(attentionFirst(attention(a), attention(b)), cmp.Compare(b.Reserved, a.Reserved), cmp.Compare(a.ID, b.ID))
	})
	w.printf("ENDPOINT\tDATA CENTRE\tPHASE\tHELD BY\tRUNNING\tRESERVED OF\tCAPACITY\tKNOWN AGO\n")
	printRows(c, w, endpoints, maxEndpointRows, func(e presenter.EndpointStatus) string {
		capacity := formatTokens(e.Capacity)
		if e.Kind == "Service" {
			capacity = "service"
		}
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s", e.ID, e.DataCentre, endpointPhase(e), holderOrNobody(e.Holder), e.Running,
			formatTokens(e.Reserved), capacity, formatAge(e.UpdatedAgoMs))
	})
}

func (c *statusCommand) printMembers(w *table, members []presenter.MemberStatus) {
	slices.SortStableFunc(members, func(a, b presenter.MemberStatus) int {
		return cmp.Or(attentionFirst(a.Wanted > 0, b.Wanted > 0), cmp.Compare(b.Used, a.Used), cmp.Compare(a.ID, b.ID))
	})
	w.printf("MEMBER\tCAP\tBALANCE HERE\tUSED HERE\tWANTED\tDEBT\n")
	printRows(c, w, members, maxMemberRows, func(m presenter.MemberStatus) string {
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s", m.ID, formatTokens(m.Cap), formatTokens(m.Balance), formatTokens(m.Used), formatTokens(m.Wanted), formatTokens(m.Debt))
	})
}

// printRows prints up to limit rows and the number of those that it omitted. row formats the columns of one row.
func printRows[T any](c *statusCommand, w *table, rows []T, limit int, row func(T) string) {
	if c.All {
		limit = len(rows)
	}
	for _, r := range rows[:min(limit, len(rows))] {
		w.printf("%s\n", row(r))
	}
	if more := len(rows) - limit; more > 0 {
		w.printf("and %d more; see --all\n", more)
	}
	w.printf("\n")
}

// attentionFirst compares for sorting: true comes before false.
func attentionFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func nodeState(s presenter.Status) string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Fenced:
		return "fenced, starts no new work"
	default:
		return "serving"
	}
}

// outOfService lists what the rules take out of service, or returns "" if there is nothing.
func outOfService(r presenter.RulesStatus) string {
	var b strings.Builder
	for _, group := range []struct {
		name  string
		names []string
	}{{"data centres out", r.OutDataCentres}, {"endpoints out", r.OutEndpoints}, {"nodes dead", r.DeadNodes}} {
		if len(group.names) > 0 {
			fmt.Fprintf(&b, "; %s: %s", group.name, strings.Join(group.names, ", "))
		}
	}
	return b.String()
}

func endpointPhase(e presenter.EndpointStatus) string {
	phase := e.Phase
	if e.Out {
		phase += ", out"
	}
	if e.Leaving {
		phase += ", leaving"
	}
	return phase
}

func holderOrNobody(holder string) string {
	if holder == "" {
		return "nobody"
	}
	return holder
}

// formatAge formats an age in milliseconds. Negative means never.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// formatTokens formats a number of tokens, from 1,000 on with unit k, M or G and one decimal, rounded down.
func formatTokens(tokens int64) string {
	for _, unit := range []struct {
		size int64
		name string
	}{{1_000_000_000, "G"}, {1_000_000, "M"}, {1_000, "k"}} {
		if tokens >= unit.size {
			return fmt.Sprintf("%d.%d%s", tokens/unit.size, tokens%unit.size*10/unit.size, unit.name)
		}
	}
	return fmt.Sprint(tokens)
}
