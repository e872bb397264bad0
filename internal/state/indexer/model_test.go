package indexer

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

var (
	workspaceNames = []string{"a", "b"}
	adapterNames   = []string{"x", "y", "z"}
	versionNames   = []string{"1", "2", "3"}
	keyNames       = []string{"", "k", "l"}
)

func draw[T any](t *rapid.T, label string, values []T) T {
	return rapid.SampledFrom(values).Draw(t, label)
}

// drawChange returns a command on a small set of names. Its texts are long enough for the
// arenas to need several chunks.
func drawChange(t *rapid.T) storer.Command {
	workspace, adapter := draw(t, "workspace", workspaceNames), draw(t, "adapter", adapterNames)
	r := storer.Resource{Metadata: storer.Metadata{Workspace: workspace, Name: adapter}}
	switch r.Kind = draw(t, "kind", []storer.Kind{storer.KindAdapter, storer.KindVersion, storer.KindVersion, storer.KindPriorityRule, storer.KindKey}); r.Kind {
	case storer.KindAdapter:
		r.Spec = storer.AdapterSpec{BaseModel: "m", Current: draw(t, "current", append([]string{""}, versionNames...))}
	case storer.KindVersion:
		r.Metadata.Name += "@" + draw(t, "version", versionNames)
		r.Spec = storer.VersionSpec{Source: strings.Repeat(r.Metadata.Name, 200)}
	case storer.KindPriorityRule:
		r.Spec = storer.PriorityRuleSpec{
			Adapter:  draw(t, "match", append([]string{""}, adapterNames...)),
			Key:      draw(t, "key", keyNames),
			Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
		}
	default:
		r.Spec = storer.KeySpec{Hash: hash(draw(t, "hash", []string{"a", "b", "c"}))}
	}
	if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
		return storer.DeleteResource{Key: r.Key()}
	}
	return storer.PutResource{Resource: r}
}

// referenceRule returns the rule that applies to a call, by a direct implementation of
// the documented order.
func referenceRule(rs []storer.Resource, workspace, adapter, key string) (best storer.PriorityRuleSpec, found bool) {
	var matching []storer.Resource
	for _, r := range rs {
		if s, ok := r.Spec.(storer.PriorityRuleSpec); ok && r.Metadata.Workspace == workspace &&
			(s.Adapter == "" || s.Adapter == adapter) && (s.Key == "" || s.Key == key) {
			matching = append(matching, r)
		}
	}
	if len(matching) == 0 {
		return best, false
	}
	rank := func(r storer.Resource) int {
		s := r.Spec.(storer.PriorityRuleSpec)
		return 2*min(1, len(s.Adapter)) + min(1, len(s.Key))
	}
	slices.SortFunc(matching, func(a, b storer.Resource) int {
		return cmp.Or(rank(b)-rank(a), strings.Compare(a.Metadata.Name, b.Metadata.Name))
	})
	return matching[0].Spec.(storer.PriorityRuleSpec), true
}

// checkLookups compares the result of every lookup with the state as resources.
func checkLookups(t *rapid.T, x *Index, rs []storer.Resource) {
	specs := map[storer.Key]storer.Spec{}
	for _, r := range rs {
		specs[r.Key()] = r.Spec
	}
	for _, w := range workspaceNames {
		for _, a := range adapterNames {
			declared, exists := specs[storer.Key{Kind: storer.KindAdapter, Workspace: w, Name: a}].(storer.AdapterSpec)
			for _, v := range append([]string{""}, versionNames...) {
				got, err := x.Resolve(w, a, v)
				named := cmp.Or(v, declared.Current)
				version, ok := specs[storer.Key{Kind: storer.KindVersion, Workspace: w, Name: a + "@" + named}].(storer.VersionSpec)
				want := Target{Workspace: w, Adapter: a, Version: named, Name: w + "/" + a + "@" + named, Source: version.Source, BaseModel: "m"}
				switch {
				case !exists && !errors.Is(err, ErrUnknownAdapter), exists && named == "" && !errors.Is(err, ErrNoCurrent),
					exists && named != "" && !ok && !errors.Is(err, ErrUnknownVersion), ok && (err != nil || got != want):
					t.Fatalf("%s/%s@%s: got %.80v, %v, want %.80v", w, a, v, got, err, want)
				}
			}
			for _, k := range keyNames {
				got, ok := x.Rule(w, a, k)
				if want, found := referenceRule(rs, w, a, k); got != want || ok != found {
					t.Fatalf("rule of %s/%s for %q: got %v, want %v", w, a, k, got, want)
				}
			}
		}
	}
	for _, digit := range []string{"a", "b", "c"} {
		h, _ := storer.ParseHash(hash(digit))
		holder, ok := x.KeyByHash(h)
		i := slices.IndexFunc(rs, func(r storer.Resource) bool { s, is := r.Spec.(storer.KeySpec); return is && s.Hash == hash(digit) })
		if ok != (i >= 0) || ok && (holder.Workspace != rs[i].Metadata.Workspace || holder.Name != rs[i].Metadata.Name) {
			t.Fatalf("key %s: got %v, %v", digit, holder, ok)
		}
	}
}

// TestPropertyIndexFollowsStore compares a replica with a store that updates it by deltas,
// which may be repeated or overlap, by whole states, which may be old, and by pages.
func TestPropertyIndexFollowsStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := storer.NewStore(storer.Settings{Retention: storer.Retention{HistoryChanges: 6, VersionNameAge: 1, MinEntries: 1}})
		x := NewIndex(Settings{})
		var index, oldRevision uint64
		var old []storer.Resource
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			index++
			data, err := storer.Encode(storer.Envelope{Command: drawChange(t)})
			if err != nil {
				t.Fatal(err)
			}
			s.Apply(index, data)
			held := x.Revision()
			switch rapid.IntRange(0, 5).Draw(t, "deliver") {
			case 0, 1, 2:
				after := held - min(held, rapid.Uint64Range(0, 3).Draw(t, "overlap"))
				changes, upTo, ok := s.Since(after, 0)
				if !ok {
					rs, revision := s.All()
					err = x.Reset(rs, revision)
				} else {
					err = x.Apply(changes, upTo)
				}
				if err != nil {
					t.Fatal(err)
				}
			case 3:
				if err := x.Reset(old, oldRevision); errors.Is(err, ErrStaleSnapshot) != (oldRevision < held) {
					t.Fatalf("reset from %d to %d: %v", held, oldRevision, err)
				}
			case 4:
				l := x.BeginLoad()
				rs, revision := s.All()
				for page := range slices.Chunk(rs, 2) {
					if err := l.Add(page); err != nil {
						t.Fatal(err)
					}
				}
				if err := l.Finish(revision); err != nil {
					t.Fatal(err)
				}
			default:
				old, oldRevision = s.All()
			}
			if x.Revision() < held {
				t.Fatalf("revision decreased from %d to %d", held, x.Revision())
			}
			if rs, revision := s.All(); x.Revision() == revision {
				checkLookups(t, x, rs)
			}
		}
	})
}

// TestReadersSeeWholeTargets resolves concurrently while the replica is changed, rebuilt
// and reset. With -race it also checks that returned strings are never overwritten.
func TestReadersSeeWholeTargets(t *testing.T) {
	x := NewIndex(Settings{})
	adapter := resource(1, storer.KindAdapter, "a", "x", storer.AdapterSpec{BaseModel: "m", Current: "1"})
	version := func(n string) storer.Resource {
		return resource(1, storer.KindVersion, "a", "x@"+n, storer.VersionSpec{Source: strings.Repeat(n, 900)})
	}
	state := []storer.Resource{adapter, version("1"), version("2")}
	if err := x.Reset(state, 1); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				target, err := x.Resolve("a", "x", "")
				if err != nil || target.Source != strings.Repeat(target.Version, 900) || target.Name != "a/x@"+target.Version {
					t.Errorf("resolved %.40v, %v", target, err)
					return
				}
			}
		})
	}
	for revision := uint64(2); revision < 3000; revision++ {
		var err error
		if revision%100 == 0 {
			err = x.Reset(state, revision)
		} else {
			err = x.Apply([]storer.Change{{Revision: revision, Resource: version("2"), Deleted: revision%2 == 0}}, revision)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	readers.Wait()
}
