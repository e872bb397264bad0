package router

import (
	"math"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/hasher"
)

// maxHomes bounds the homes of one version.
const maxHomes = 8

// Certainty that a version is resident, by the kind of evidence.
const (
	hintCertainty   = 0.95
	answerCertainty = 1.0
	// agedCertainty is the certainty that an old answer decays to. It stays high
	// because digests report evictions.
	agedCertainty = 0.9
)

// evidence is the reason why a version is believed to be at a backend server.
type evidence uint8

const (
	// evidenceHint is a digest.
	evidenceHint evidence = iota
	// evidenceAnswer is an answer made with the version.
	evidenceAnswer
	// evidenceLoading is one of the entry's own calls, for which the version is being
	// loaded.
	evidenceLoading
)

// place is a backend server on which a version is believed resident.
type place struct {
	at int64
	// generation must match the backend server's for the place to be valid. An engine
	// that restarted is empty and has another generation.
	generation uint32
	// pinned is the number of the entry's own calls in flight there.
	pinned   int32
	index    uint16
	evidence evidence
}

// certainty returns the probability that the version is resident.
func (p *place) certainty(now time.Time, halfLife time.Duration) float64 {
	switch p.evidence {
	case evidenceHint:
		return hintCertainty
	case evidenceAnswer:
		if p.pinned > 0 {
			return answerCertainty
		}
		age := time.Duration(now.UnixNano() - p.at)
		return agedCertainty + (answerCertainty-agedCertainty)*decayFactor(age, halfLife)
	default:
		return 0
	}
}

// version is an entry's knowledge of one version.
type version struct {
	hash uint64
	// rate is the decayed number of calls per second as of ratedAt, in Unix
	// nanoseconds.
	rate    float64
	ratedAt int64
	// neededAt is the time, in Unix nanoseconds, at which demand last required spread
	// homes.
	neededAt int64
	// homesPool is the number of the pool for which homes was computed.
	homesPool uint64
	homes     [maxHomes]uint16
	homeCount uint8
	spread    uint8
	places    []place
}

// call counts a call and returns the decayed rate in calls per second.
func (v *version) call(now time.Time, halfLife time.Duration) float64 {
	v.decay(now, halfLife)
	v.rate += math.Ln2 / halfLife.Seconds()
	return v.rate
}

func (v *version) decay(now time.Time, halfLife time.Duration) {
	at := now.UnixNano()
	v.rate *= decayFactor(time.Duration(at-v.ratedAt), halfLife)
	v.ratedAt = max(at, v.ratedAt)
}

// updateSpread updates the number of homes and returns it. The number rises at once
// when demand exceeds the capacity of the current homes, and falls by one after demand
// has been lower for the whole of after. The threshold for shrinking is lower than that
// for growing, so that demand near a boundary does not cause repeated loads and
// evictions.
func (v *version) updateSpread(now time.Time, needed float64, after time.Duration) int {
	const shrinkShare = 0.7
	at := now.UnixNano()
	current := max(int(v.spread), 1)
	up := min(int(math.Ceil(needed)), maxHomes)
	switch {
	case up >= current:
		current = max(up, 1)
		v.neededAt = at
	case needed > shrinkShare*float64(current-1):
		v.neededAt = at
	case at-v.neededAt > int64(after):
		current--
		v.neededAt = at
	}
	v.spread = uint8(current)
	return current
}

// find returns the place at the backend server, or nil.
func (v *version) find(b *backend) *place {
	for i := range v.places {
		p := &v.places[i]
		if p.index == b.index && p.generation == b.generation {
			return p
		}
	}
	return nil
}

// findOrAdd returns the place at the backend server, adding it if there is none, and
// reports whether it was added. Adding one removes places whose generation is outdated.
func (v *version) findOrAdd(w *view, b *backend, now time.Time) (*place, bool) {
	if p := v.find(b); p != nil {
		return p, false
	}
	v.prune(w)
	v.places = append(v.places, place{index: b.index, generation: b.generation, at: now.UnixNano(), evidence: evidenceLoading})
	return &v.places[len(v.places)-1], true
}

// remove deletes the place at the backend server.
func (v *version) remove(b *backend) {
	for i := range v.places {
		if v.places[i].index == b.index && v.places[i].generation == b.generation {
			last := len(v.places) - 1
			v.places[i] = v.places[last]
			v.places = v.places[:last]
			return
		}
	}
}

func (v *version) prune(w *view) {
	kept := v.places[:0]
	for _, p := range v.places {
		if w.at(p.index, p.generation) != nil {
			kept = append(kept, p)
		}
	}
	v.places = kept
}

// setHomes computes the homes by rendezvous hashing: the pool's members with the
// highest combined hash of version and member (Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", 1998). All entries compute the same homes
// without communicating. The cost is linear in the number of members, so it runs only
// when the pool's members have changed.
func (v *version) setHomes(p *pool) {
	var weights [maxHomes]uint64
	n := 0
	for _, b := range p.members {
		w := hasher.Mix(v.hash ^ b.hash)
		if w <= weights[maxHomes-1] {
			continue
		}
		i := min(n, maxHomes-1)
		n = min(n+1, maxHomes)
		for ; i > 0 && weights[i-1] < w; i-- {
			weights[i], v.homes[i] = weights[i-1], v.homes[i-1]
		}
		weights[i], v.homes[i] = w, b.index
	}
	v.homeCount = uint8(n)
	v.homesPool = p.number
}
