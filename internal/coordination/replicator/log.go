package replicator

// log holds the entries since the last compaction in memory.
type log struct {
	// base and baseTerm are the index and term of the entry before entries[0]; 0 if the log was
	// never compacted.
	base, baseTerm uint64
	// entries have no gaps: entries[i].Index == base+1+i.
	entries []Entry
	// persisted is the index of the last entry known to be on the disk.
	persisted uint64
	// truncateFrom is the first index that must still be dropped from the disk, 0 if none.
	truncateFrom uint64
}

// last returns the index of the last entry.
func (l *log) last() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term of the entry at index, and false if it is not known.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// lastTerm returns the term of the last entry.
func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// holds reports whether the entry at index has the given term.
func (l *log) holds(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// from returns the entries after index up to a total size in bytes, but at least one if there are
// any. They alias the log.
func (l *log) from(index uint64, bytes int) []Entry {
	if index < l.base || index >= l.last() {
		return nil
	}
	rest := l.entries[index-l.base:]
	sum := 0
	for i, e := range rest {
		sum += entrySize(e)
		if i > 0 && sum > bytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// between returns the entries after index up to and including upTo. They alias the log.
func (l *log) between(index, upTo uint64) []Entry {
	if upTo <= index {
		return nil
	}
	return l.entries[index-l.base : upTo-l.base : upTo-l.base]
}

// push appends an entry, whose index must be last()+1.
func (l *log) push(e Entry) { l.entries = append(l.entries, e) }

// truncate drops all entries from index on. The backing array is not written to again, because
// messages and the applier may still refer to it.
func (l *log) truncate(index uint64) {
	keep := index - l.base - 1
	l.entries = l.entries[:keep:keep]
	if index <= l.persisted {
		l.persisted = index - 1
		if l.truncateFrom == 0 || index < l.truncateFrom {
			l.truncateFrom = index
		}
	}
}

// compact drops all entries up to index, which must be in the log.
func (l *log) compact(index uint64) {
	if index <= l.base {
		return
	}
	l.baseTerm, _ = l.term(index)
	// Copying releases the memory of the dropped entries.
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base = index
}

// reset replaces the whole log by a snapshot.
func (l *log) reset(index, term uint64) {
	*l = log{base: index, baseTerm: term, persisted: index}
}
