package indexer

import (
	"cmp"
	"slices"
	"strings"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// ruleRecord is one priority rule.
type ruleRecord struct {
	// text is ADAPTER, KEY and NAME, joined.
	text           textRef
	deadlineMillis uint32
	adapterLen     uint8
	keyLen         uint8
	nameLen        uint8
	priority       uint8
}

// rules are the priority rules of one workspace, sorted by adapter, key and
// name, so that the first of those with one match is the one that counts.
type rules struct {
	texts   arena
	records []ruleRecord
}

func (r *rules) adapter(i int) string {
	return r.texts.text(r.records[i].text, int(r.records[i].adapterLen))
}

func (r *rules) key(i int) string {
	return r.whole(i)[int(r.records[i].adapterLen) : int(r.records[i].adapterLen)+int(r.records[i].keyLen)]
}

func (r *rules) name(i int) string {
	return r.whole(i)[int(r.records[i].adapterLen)+int(r.records[i].keyLen):]
}

func (r *rules) whole(i int) string { return r.texts.text(r.records[i].text, r.records[i].length()) }

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

// position returns the place of the first rule not before adapter, key and name.
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
	i, ok := r.findOf(adapter, key)
	if !ok && adapter != "" {
		i, ok = r.findOf("", key)
	}
	if !ok {
		return storer.PriorityRuleSpec{}, false
	}
	return r.spec(i), true
}

// findOf returns the rule for the key among those that name exactly the
// adapter; failing that, the one for all keys.
func (r *rules) findOf(adapter, key string) (int, bool) {
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

// record adds the rule's text.
func (r *rules) record(name string, s storer.PriorityRuleSpec) ruleRecord {
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
		// By itself it would grow to twice its size, in every workspace.
		r.records = append(make([]ruleRecord, 0, len(r.records)*9/8+1), r.records...)
	}
	r.records = slices.Insert(r.records, i, r.record(name, s))
}

// remove takes out the rule with a name. Changes are rare and a workspace's
// rules few, so it looks through them.
func (r *rules) remove(name string) {
	for i := range r.records {
		if r.name(i) == name {
			r.texts.drop(r.records[i].length())
			r.records = slices.Delete(r.records, i, i+1)
			break
		}
	}
	if r.texts.wasteful() {
		*r = r.rebuilt()
	}
}

// add appends a rule out of order; sort follows.
func (r *rules) add(name string, s storer.PriorityRuleSpec) {
	r.records = append(r.records, r.record(name, s))
}

// sort puts rules that were added into their order.
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
	fresh := r.emptied()
	for i := range sorted {
		fresh.add(sorted[i].name, sorted[i].spec)
	}
	*r = fresh
}

// emptied returns room for what r holds, without slack.
func (r *rules) emptied() rules {
	return rules{texts: arena{expected: r.texts.live}, records: make([]ruleRecord, 0, len(r.records))}
}

// rebuilt returns the same rules without dropped texts.
func (r *rules) rebuilt() rules {
	fresh := r.emptied()
	for i := range r.records {
		fresh.add(r.name(i), r.spec(i))
	}
	return fresh
}
