package router

import (
	"slices"
	"time"
)

// Digest replaces the set of versions resident at a backend server, as given by a
// digest; resident must be sorted. The slice is retained and must not be modified
// afterwards. Only the differences from the previous digest are applied.
func (r *Router) Digest(now time.Time, backend string, epoch uint64, resident []string) {
	b := r.view.Load().byName[backend]
	if b == nil || b.member.Spec.Epoch != epoch {
		return
	}
	b.mu.Lock()
	previous := b.lastDigest
	b.lastDigest = resident
	b.mu.Unlock()
	for _, v := range previous {
		if _, still := slices.BinarySearch(resident, v); !still {
			r.Resident(now, backend, v, false)
		}
	}
	for _, v := range resident {
		if _, before := slices.BinarySearch(previous, v); !before {
			r.Resident(now, backend, v, true)
		}
	}
}
