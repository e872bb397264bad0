package suspecter

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Costs of an explanation of ends, in natural logarithms of probabilities.
const (
	// unexplainedCost is the cost of an end that no culprit explains, at which the answer to a
	// request had begun.
	unexplainedCost = 5
	// sentShare is the share of the cost, and of the evidence, of an end at which the requests
	// with a part waited or were being read. A server that crashes because of a part does so
	// when it begins to answer; only few other requests are in that state at the same time,
	// whereas many wait.
	sentShare = 1. / 3
	// culpritCost is the cost of each culprit.
	culpritCost = 7
	// minCulpritGain is by how much a culprit must improve the explanation to be blamed. Four
	// ends do at which an answer had begun, if no request with the part was answered.
	minCulpritGain = 10
	// minCulpritRequests is the number of different requests with the part for which it is
	// blamed. A single request is quarantined by its identity.
	minCulpritRequests = 2
	// minCulpritRate is the share of the requests with the part during which servers crash from
	// which on the part is blamed.
	minCulpritRate = 0.2
)

// Culprit is a part that is blamed for ends of backend servers.
type Culprit struct {
	Part uint64
	// Lives is the number of ends that the part explains and no other culprit does, and Begun
	// the number of those at which the answer to a request with the part had begun.
	Lives int
	Begun int
	// Answered is the number of requests with the part that were answered meanwhile.
	Answered int
}

// Culprits returns the parts that are blamed for ends, sorted by part.
//
// The parts of all requests in progress at an end are suspects, and parts that are common, such
// as the first of most prompts, are in progress at every end. The culprits are the set of parts
// that explains the ends at the least cost: each end that none of them explains, each culprit,
// and each request with a culprit that was answered has a cost (noisy-or with a prior; an end
// that one part explains is no evidence against the others). Parts that an operator has blocked
// explain their ends and are not returned.
//
// Two sets are built greedily and the better one is taken: parts by how much they explain, and
// parts by how seldom they are answered. The first alone would blame a common part for the
// crashes of two others, and the second alone a rare part that is in progress by chance.
func Culprits(parts map[uint64]storer.PartSpec) []Culprit {
	e := explanation{parts: parts, known: make(lifeSet)}
	for id, spec := range parts {
		if spec.Operator {
			e.known.add(spec)
		} else if c := newCandidate(id, spec, nil); c.rate() >= minCulpritRate {
			e.candidates = append(e.candidates, id)
		}
	}
	slices.Sort(e.candidates)
	set := e.greedy(func(c candidate) float64 { return c.gain() })
	if other := e.greedy(candidate.rate); e.total(other) > e.total(set) {
		set = other
	}
	var culprits []Culprit
	for _, id := range set {
		if c := e.marginal(set, id); c.gain() >= minCulpritGain && c.requests >= minCulpritRequests {
			culprits = append(culprits, c.Culprit)
		}
	}
	slices.SortFunc(culprits, func(a, b Culprit) int { return cmp.Compare(a.Part, b.Part) })
	return culprits
}

// lifeSet holds how far incarnations' ends are explained, from 0 to 1.
type lifeSet map[uint64]float64

// add adds the ends during which the part was in progress.
func (l lifeSet) add(spec storer.PartSpec) {
	for _, e := range spec.Ends {
		l[e.Life] = max(l[e.Life], weightOf(e))
	}
}

// weightOf returns the evidence of an end; 1 if an answer had begun.
func weightOf(e storer.PartEnd) float64 {
	if e.Begun {
		return 1
	}
	return sentShare
}

// explanation searches for the set of parts that explains the ends best.
type explanation struct {
	parts      map[uint64]storer.PartSpec
	candidates []uint64
	// known are the ends that parts blocked by operators explain.
	known lifeSet
}

// greedy returns a set of parts that is built by adding the first one in the given order that
// improves the explanation, repeatedly, and then removing those that the others make redundant.
func (e *explanation) greedy(order func(candidate) float64) []uint64 {
	explained := maps.Clone(e.known)
	var set []uint64
	for {
		var best candidate
		for _, id := range e.candidates {
			if c := newCandidate(id, e.parts[id], explained); c.gain() > 0 && (best.Lives == 0 || c.compare(best, order) > 0) {
				best = c
			}
		}
		if best.Lives == 0 {
			break
		}
		set = append(set, best.Part)
		explained.add(e.parts[best.Part])
	}
	for _, id := range slices.Clone(set) {
		if e.marginal(set, id).gain() <= 0 {
			set = slices.DeleteFunc(set, func(o uint64) bool { return o == id })
		}
	}
	return set
}

// marginal returns a part with the ends that no other part of the set explains.
func (e *explanation) marginal(set []uint64, id uint64) candidate {
	others := maps.Clone(e.known)
	for _, o := range set {
		if o != id {
			others.add(e.parts[o])
		}
	}
	return newCandidate(id, e.parts[id], others)
}

// total returns by how much a set improves the explanation.
func (e *explanation) total(set []uint64) float64 {
	explained := maps.Clone(e.known)
	sum := 0.0
	for _, id := range set {
		sum += newCandidate(id, e.parts[id], explained).gain()
		explained.add(e.parts[id])
	}
	return sum
}

// candidate is a part with the ends that are not explained.
type candidate struct {
	Culprit
	requests, depth int
	// weight is the evidence of the ends that is not explained.
	weight float64
}

func newCandidate(id uint64, spec storer.PartSpec, explained lifeSet) candidate {
	c := candidate{Culprit: Culprit{Part: id, Answered: spec.Answered}, depth: spec.Depth}
	var requests []uint64
	for _, e := range spec.Ends {
		left := weightOf(e) - explained[e.Life]
		if left <= 0 {
			continue
		}
		c.weight += left
		c.Lives++
		if e.Begun {
			c.Begun++
		}
		if !slices.Contains(requests, e.Request) {
			requests = append(requests, e.Request)
		}
	}
	c.requests = len(requests)
	return c
}

// rate returns the weighted share of the requests with the part during which servers crashed.
func (c candidate) rate() float64 {
	if c.Lives == 0 {
		return 0
	}
	return c.weight / (c.weight + float64(c.Answered))
}

// gain returns by how much the part improves the explanation: the cost of its ends if they are
// not explained, without the cost of a culprit that crashes servers at its rate.
func (c candidate) gain() float64 {
	gain := unexplainedCost*c.weight - culpritCost
	if q := c.rate(); q < 1 && q > 0 {
		gain += c.weight*math.Log(q) + float64(c.Answered)*math.Log(1-q)
	}
	return gain
}

// compare returns a positive number if c comes before o in the given order. Of equal ones the
// part that stands deepest in the prompts does, which is the most specific.
func (c candidate) compare(o candidate, order func(candidate) float64) int {
	return cmp.Or(
		cmp.Compare(order(c), order(o)), cmp.Compare(c.weight, o.weight),
		cmp.Compare(c.depth, o.depth), cmp.Compare(o.Part, c.Part),
	)
}
