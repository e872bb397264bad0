package router

import (
	"slices"
	"time"
)

// Digest takes in the whole residency of a backend server, sorted, as a digest
// tells it. The slice is kept and must not be changed. Only what differs from
// the last digest changes a belief.
func (r *Router) Digest(now time.Time, backend string, epoch uint64, resident []string) {
	b := r.view.Load().byName[backend]
	if b == nil || b.member.Spec.Epoch != epoch {
		return
	}
	b.mu.Lock()
	former := b.told
	b.told = resident
	b.mu.Unlock()
	for _, v := range former {
		if _, still := slices.BinarySearch(resident, v); !still {
			r.Resident(now, backend, v, false)
		}
	}
	for _, v := range resident {
		if _, before := slices.BinarySearch(former, v); !before {
			r.Resident(now, backend, v, true)
		}
	}
}
