package subscriber

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// The tiers of control hosts, nearest first.
const (
	tierDomain = iota
	tierRegion
	tierOther
)

func tierOf(h configurer.ControlHost, region, domain string) int {
	switch {
	case h.FailureDomain == domain:
		return tierDomain
	case h.Region == region:
		return tierRegion
	default:
		return tierOther
	}
}

// orderHosts returns the control hosts in the order in which a node tries them: by tier,
// and at random within a tier, so that the nodes of a failure domain that has lost its
// control host spread over the others. The host to avoid comes last.
func orderHosts(hosts []configurer.ControlHost, region, domain, avoid string, random *rand.Rand) []configurer.ControlHost {
	order := slices.Clone(hosts)
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	rank := func(h configurer.ControlHost) int {
		if h.Address == avoid {
			return tierOther + 1
		}
		return tierOf(h, region, domain)
	}
	slices.SortStableFunc(order, func(a, b configurer.ControlHost) int { return cmp.Compare(rank(a), rank(b)) })
	return order
}
