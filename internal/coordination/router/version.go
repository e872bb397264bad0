package router

import (
	"math"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/hasher"
)

// maxHomes bounds the homes of one version.
const maxHomes = 8

// certainty of a place, by what it rests on.
const (
	hintCertainty   = 0.95
	answerCertainty = 1.0
	// agedCertainty is what an old answer is still worth: an eviction is told by
	// the digests.
	agedCertainty = 0.9
)

// evidence tells why a version is believed to be at a backend server.
type evidence uint8

const (
	// evidenceHint is a digest.
	evidenceHint evidence = iota
	// evidenceAnswer is an answer made with the version.
	evidenceAnswer
	// evidenceLoading is a call of the entry's own for which the version is
	// being loaded.
	evidenceLoading
)

// place is one backend server where a version is believed to be.
type place struct {
	at int64
	// generation fits the backend server's as long as the belief may hold: an
	// engine that restarted is empty and has another generation.
	generation uint32
	// pinned counts the entry's own calls in flight there.
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
		return agedCertainty + (answerCertainty-agedCertainty)*halved(age, halfLife)
	default:
		return 0
	}
}

// version is what the entry knows about one version.
type version struct {
	hash uint64
	// rate is the decayed number of calls a second, as of ratedAt.
	rate    float64
	ratedAt int64
	// neededAt is when demand last called for spread homes.
	neededAt int64
	// homesOf is the number of the pool for which homes are.
	homesOf   uint64
	homes     [maxHomes]uint16
	homeCount uint8
	spread    uint8
	places    []place
}

// call counts a call and returns the decayed rate in calls a second.
func (v *version) call(now time.Time, halfLife time.Duration) float64 {
	v.decay(now, halfLife)
	v.rate += math.Ln2 / halfLife.Seconds()
	return v.rate
}

func (v *version) decay(now time.Time, halfLife time.Duration) {
	at := now.UnixNano()
	v.rate *= halved(time.Duration(at-v.ratedAt), halfLife)
	v.ratedAt = max(at, v.ratedAt)
}

// spreadTo sets the number of homes: up at once when demand fills those there
// are, down by one only after demand stayed under for the whole of after. The
// way down starts lower than the way up, so that demand near a boundary
// doesn't load and unload.
func (v *version) spreadTo(now time.Time, needed float64, after time.Duration) int {
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

// ensure returns the place at the backend server, made where there was none,
// and whether it was made. It drops places whose generation has gone.
func (v *version) ensure(w *view, b *backend, now time.Time) (*place, bool) {
	if p := v.find(b); p != nil {
		return p, false
	}
	v.prune(w)
	v.places = append(v.places, place{index: b.index, generation: b.generation, at: now.UnixNano(), evidence: evidenceLoading})
	return &v.places[len(v.places)-1], true
}

// remove drops the place at the backend server.
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

// setHomes finds the homes by rendezvous hashing: those of the pool's members
// whose hash together with the version's is highest (Thaler and Ravishankar,
// "Using name-based mappings to increase hit rates", 1998). All entries find
// the same without a word between them. It looks at every member and therefore
// runs only when the pool's members have changed.
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
	v.homesOf = p.number
}
