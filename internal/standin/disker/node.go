package disker

import "slices"

// span is a range of offsets in a file, without to.
type span struct{ from, to int }

// node is a file, independent of its names.
type node struct {
	data []byte
	// synced is the content at the last sync.
	synced []byte
	// unchanged is the minimum length since the last sync. A crash can't lose
	// synced data before it.
	unchanged int
	// dropped are the ranges whose write-back failed: they can be read, but later
	// syncs do not write them unless they are rewritten.
	dropped []span
}

// dropAfter drops the part of each dropped range from offset from on.
func (n *node) dropAfter(from int) {
	kept := n.dropped[:0]
	for _, s := range n.dropped {
		if s.to = min(s.to, from); s.from < s.to {
			kept = append(kept, s)
		}
	}
	n.dropped = kept
}

// writeBack returns the content that a successful sync leaves on the disk. Dropped
// ranges keep what was synced before, and are zero where nothing was.
func (n *node) writeBack() []byte {
	out := slices.Clone(n.data)
	for _, s := range n.dropped {
		for i := s.from; i < min(s.to, len(out)); i++ {
			out[i] = 0
			if i < len(n.synced) {
				out[i] = n.synced[i]
			}
		}
	}
	return out
}
