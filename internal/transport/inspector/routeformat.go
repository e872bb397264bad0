package inspector

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// WriteJSON writes the answer as one JSON document.
func (a *RouteAnswer) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(a))
}

// WriteText writes the answer as tables, for human readers. Times are in milliseconds.
func (a *RouteAnswer) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "entry\t%s\n", a.Node)
	fmt.Fprintf(w, "state\trevision %d, configuration %d, age %s, confirmed age %s\n", a.Revision, a.Configuration, formatAge(a.StateAgeMillis), formatAge(a.ConfirmedAgeMillis))
	fmt.Fprintf(w, "request\t%s%s\n", a.Host, a.Path)
	if a.Route != "" {
		fmt.Fprintf(w, "route\t%s\n", a.Route)
	}
	if a.Refusal != "" {
		fmt.Fprintf(w, "refused\t%s\n", a.Refusal)
	}
	for i := range a.Services {
		a.Services[i].write(w)
	}
	return errors.Trace(w.Flush())
}

func (s *RouteService) write(w io.Writer) {
	kind := "plain"
	if s.Engines {
		kind = "engines"
	}
	fmt.Fprintf(w, "\nservice\t%s, %s, weight %d\n", s.Name, kind, s.Weight)
	if s.Refusal != "" {
		fmt.Fprintf(w, "refused\t%s\n", s.Refusal)
	} else {
		fmt.Fprintf(w, "choice\t%s\n", s.Choice)
	}
	if len(s.Ties) > 0 {
		fmt.Fprintf(w, "tie\tdrawn at random among %s\n", strings.Join(s.Ties, ", "))
	} else if c := s.find(s.Choice); c != nil && !c.Known {
		fmt.Fprint(w, "tie\tof the unfollowed engines, the adapter's home\n")
	}
	if len(s.Candidates) > 0 {
		s.writeCandidates(w)
	}
	if len(s.Excluded) > 0 {
		fmt.Fprint(w, "\n\tEXCLUDED\tDOMAIN\tSTATE\tREPORT\tREASON\n")
		for i := range s.Excluded {
			c := &s.Excluded[i]
			fmt.Fprintf(w, "\t%s\t%s", c.formatState(), c.Exclusion)
			if c.RemainingMillis > 0 {
				fmt.Fprintf(w, ", %s left", formatAge(c.RemainingMillis))
			}
			fmt.Fprintln(w)
		}
	}
}

// writeCandidates writes a table with a column for each term that any candidate has.
func (s *RouteService) writeCandidates(w io.Writer) {
	var names []string
	for i := range s.Candidates {
		for _, t := range s.Candidates[i].Terms {
			if !slices.Contains(names, t.Name) {
				names = append(names, t.Name)
			}
		}
	}
	fmt.Fprintf(w, "\n\tCANDIDATE\tDOMAIN\tSTATE\tREPORT\tCOST\t%s\n", strings.Join(names, "\t"))
	for i := range s.Candidates {
		c := &s.Candidates[i]
		mark := ""
		if c.Name == s.Choice {
			mark = ">"
		}
		fmt.Fprintf(w, "%s\t%s\t%s", mark, c.formatState(), formatMillis(c.CostMillis))
		for _, name := range names {
			millis := 0.0
			if t := slices.IndexFunc(c.Terms, func(t RouteTerm) bool { return t.Name == name }); t >= 0 {
				millis = c.Terms[t].Millis
			}
			fmt.Fprintf(w, "\t%s", formatMillis(millis))
		}
		fmt.Fprintln(w)
	}
}

// formatState returns the columns that candidates and excluded backend servers share.
func (c *RouteServer) formatState() string {
	state := "known"
	if !c.Known {
		state = "unfollowed"
	}
	return strings.Join([]string{c.Name, c.FailureDomain, state, formatAge(c.ReportAgeMillis)}, "\t")
}

func formatMillis(millis float64) string { return strconv.FormatFloat(millis, 'f', 1, 64) }

func formatAge(millis float64) string {
	if millis < 0 {
		return "unknown"
	}
	return strconv.FormatFloat(millis, 'f', 0, 64) + " ms"
}
