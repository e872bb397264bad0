package distributor

import (
	"cmp"
	"slices"
	"time"
)

// Defaults and limits of the tally of nodes.
const (
	// DefaultRetention is how long a node that disconnected without a goodbye is still
	// reported as missing.
	DefaultRetention = 15 * time.Minute
	// MissingLimit is the maximum number of nodes listed in an InForce.
	MissingLimit = 100
)

type nodeState struct {
	node           NodeRevision
	caughtUpAt     time.Time
	disconnectedAt time.Time
}

// Tally records which of a control host's subscribers hold which revision.
type Tally struct {
	// Retention is how long a node that disconnected without a goodbye is still
	// reported; DefaultRetention by default.
	Retention time.Duration

	nodes map[string]*nodeState
}

// Observe records the revision held by a subscriber. host is the revision held by the
// control host.
func (t *Tally) Observe(now time.Time, n NodeRevision, host uint64) {
	if t.nodes == nil {
		t.nodes = make(map[string]*nodeState)
	}
	e, ok := t.nodes[n.Node]
	if !ok {
		e = &nodeState{caughtUpAt: now}
		t.nodes[n.Node] = e
	}
	if n.Revision >= host {
		e.caughtUpAt = now
	}
	n.Connected = true
	e.node, e.disconnectedAt = n, time.Time{}
}

// Disconnect records that a subscriber's connection ended. A node that said goodbye is
// removed immediately.
func (t *Tally) Disconnect(now time.Time, node string, goodbye bool) {
	e, ok := t.nodes[node]
	if !ok {
		return
	}
	if goodbye {
		delete(t.nodes, node)
		return
	}
	e.node.Connected = false
	e.disconnectedAt = now
}

// Answer reports which of the nodes hold a revision. It removes those that have been
// disconnected for longer than Retention.
func (t *Tally) Answer(now time.Time, host string, revision uint64) TallyAnswer {
	a := TallyAnswer{Host: host}
	for name, e := range t.nodes {
		switch {
		case !e.disconnectedAt.IsZero() && now.Sub(e.disconnectedAt) >= cmp.Or(t.Retention, DefaultRetention):
			delete(t.nodes, name)
		case e.node.Connected && e.node.Revision >= revision:
			a.Holding = append(a.Holding, name)
		default:
			n := e.node
			n.BehindMillis = now.Sub(e.caughtUpAt).Milliseconds()
			a.Missing = append(a.Missing, n)
		}
	}
	slices.Sort(a.Holding)
	slices.SortFunc(a.Missing, func(x, y NodeRevision) int { return cmp.Compare(x.Node, y.Node) })
	return a
}

// compareReports orders two hosts' reports of one node: the one of the host that it is
// connected to is the better one, then that of the later revision.
func compareReports(a, b NodeRevision) int {
	switch {
	case a.Connected != b.Connected && a.Connected:
		return 1
	case a.Connected != b.Connected:
		return -1
	default:
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(b.BehindMillis, a.BehindMillis))
	}
}

// Merge combines the answers of all control hosts. A node that moved from one host to
// another may be in several answers. It counts as holding the revision if any answer says
// so. Otherwise one of its reports is listed; a higher revision and an existing connection
// are preferred.
func Merge(revision uint64, answers []TallyAnswer, unreachable []string) InForce {
	holding := make(map[string]struct{})
	missing := make(map[string]NodeRevision)
	for _, a := range answers {
		for _, n := range a.Holding {
			holding[n] = struct{}{}
		}
		for _, m := range a.Missing {
			if best, ok := missing[m.Node]; !ok || compareReports(m, best) > 0 {
				missing[m.Node] = m
			}
		}
	}
	f := InForce{Revision: revision, Holding: len(holding), Unreachable: unreachable}
	for name, m := range missing {
		if _, ok := holding[name]; ok {
			continue
		}
		f.Missing = append(f.Missing, m)
	}
	f.Lacking = len(f.Missing)
	slices.SortFunc(f.Missing, func(x, y NodeRevision) int {
		return cmp.Or(cmp.Compare(y.BehindMillis, x.BehindMillis), cmp.Compare(x.Node, y.Node))
	})
	f.Missing = f.Missing[:min(len(f.Missing), MissingLimit)]
	return f
}
