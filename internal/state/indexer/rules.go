package indexer

import (
	"cmp"
	"slices"
	"strings"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// ruleRecord is one priority rule.
type ruleRecord struct {
	// text is the concatenation of ADAPTER, KEY and NAME.
	text           textRef
	deadlineMillis uint32
	adapterLen     uint8
	keyLen         uint8
	nameLen        uint8
	priority       uint8
}

// rules are the priority rules of one workspace, sorted by adapter, key and name. Among
// rules with the same adapter and key, the first one applies.
type rules struct {
	texts   arena
	records []ruleRecord
}

func (r *rules) adapter(i int) string {
	return r.texts.text(r.records[i].text, int(r.records[i].adapterLen))
}

func (r *rules) key(i int) string {
	return r.fullText(i)[int(r.records[i].adapterLen) : int(r.records[i].adapterLen)+int(r.records[i].keyLen)]
}

func (r *rules) name(i int) string {
	return r.fullText(i)[int(r.records[i].adapterLen)+int(r.records[i].keyLen):]
}

func (r *rules) fullText(i int) string { return r.texts.text(r.records[i].text, r.records[i].length()) }

func (r ruleRecord) length() int { return int(r.adapterLen) + int(r.keyLen) + int(r.nameLen) }

// spec returns the rule at i.
func (r *rules) spec(i int) storer.PriorityRuleSpec {
	return storer.PriorityRuleSpec{
		Adapter:        r.adapter(i),
		Key:            r.key(i),
		Priority:       int(r.records[i].priority),
		DeadlineMillis: int64(r.records[i].deadlineMillis),
	}
}

// compare orders the rule at i against adapter, key and name.
func (r *rules) compare(i int, adapter, key, name string) int {
	if c := strings.Compare(r.adapter(i), adapter); c != 0 {
		return c
	}
	if c := strings.Compare(r.key(i), key); c != 0 {
		return c
	}
	return strings.Compare(r.name(i), name)
}

// position returns the index of the first rule that does not sort before adapter, key
// and name.
func (r *rules) position(adapter, key, name string) int {
	low, high := 0, len(r.records)
	for low < high {
		middle := (low + high) / 2
		if r.compare(middle, adapter, key, name) < 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// find returns the most specific rule for a call.
func (r *rules) find(adapter, key string) (storer.PriorityRuleSpec, bool) {
	i, ok := r.findExact(adapter, key)
	if !ok && adapter != "" {
		i, ok = r.findExact("", key)
	}
	if !ok {
		return storer.PriorityRuleSpec{}, false
	}
	return r.spec(i), true
}

// findExact returns the index of the rule for the key among those that name exactly this
// adapter, or else of the one for all keys.
func (r *rules) findExact(adapter, key string) (int, bool) {
	first := r.position(adapter, "", "")
	if first == len(r.records) || r.adapter(first) != adapter {
		return 0, false
	}
	if key != "" {
		i := r.position(adapter, key, "")
		if i < len(r.records) && r.adapter(i) == adapter && r.key(i) == key {
			return i, true
		}
	}
	return first, r.records[first].keyLen == 0
}

// newRecord returns the record of a rule and adds its text to the arena.
func (r *rules) newRecord(name string, s storer.PriorityRuleSpec) ruleRecord {
	return ruleRecord{
		text:           r.texts.add(s.Adapter, s.Key, name),
		deadlineMillis: uint32(s.DeadlineMillis),
		adapterLen:     uint8(len(s.Adapter)),
		keyLen:         uint8(len(s.Key)),
		nameLen:        uint8(len(name)),
		priority:       uint8(s.Priority),
	}
}

func (r *rules) put(name string, s storer.PriorityRuleSpec) {
	i := r.position(s.Adapter, s.Key, name)
	if i < len(r.records) && r.adapter(i) == s.Adapter && r.key(i) == s.Key && r.name(i) == name {
		r.records[i].priority, r.records[i].deadlineMillis = uint8(s.Priority), uint32(s.DeadlineMillis)
		return
	}
	r.remove(name)
	i = r.position(s.Adapter, s.Key, name)
	if len(r.records) == cap(r.records) {
		// Grow by 1/8: append would double the capacity, in every workspace.
		r.records = append(make([]ruleRecord, 0, len(r.records)*9/8+1), r.records...)
	}
	r.records = slices.Insert(r.records, i, r.newRecord(name, s))
}

// remove removes the rule with the name. It searches linearly, since changes are rare
// and a workspace has few rules.
func (r *rules) remove(name string) {
	for i := range r.records {
		if r.name(i) == name {
			r.texts.release(r.records[i].length())
			r.records = slices.Delete(r.records, i, i+1)
			break
		}
	}
	if r.texts.needsCompaction() {
		*r = r.compacted()
	}
}

// add appends a rule without keeping the order. The caller calls sort before any lookup,
// unless it adds the rules in order.
func (r *rules) add(name string, s storer.PriorityRuleSpec) {
	r.records = append(r.records, r.newRecord(name, s))
}

// sort sorts the rules after calls of add.
func (r *rules) sort() {
	type named struct {
		name string
		spec storer.PriorityRuleSpec
	}
	sorted := make([]named, len(r.records))
	for i := range r.records {
		sorted[i] = named{name: r.name(i), spec: r.spec(i)}
	}
	slices.SortFunc(sorted, func(a, b named) int {
		return cmp.Or(
			strings.Compare(a.spec.Adapter, b.spec.Adapter),
			strings.Compare(a.spec.Key, b.spec.Key),
			strings.Compare(a.name, b.name),
		)
	})
	result := r.emptyCopy()
	for i := range sorted {
		result.add(sorted[i].name, sorted[i].spec)
	}
	*r = result
}

// emptyCopy returns empty rules with exactly the capacity for the rules in r.
func (r *rules) emptyCopy() rules {
	return rules{texts: arena{expectedBytes: r.texts.liveBytes}, records: make([]ruleRecord, 0, len(r.records))}
}

// compacted returns the same rules without released texts.
func (r *rules) compacted() rules {
	result := r.emptyCopy()
	for i := range r.records {
		result.add(r.name(i), r.spec(i))
	}
	return result
}
