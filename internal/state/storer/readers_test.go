package storer

import (
	"maps"
	"reflect"
	"sync"
	"testing"
)

// TestReadersSeeOneRevision lets readers read the whole state while commands are
// applied, and follow the changes from the returned revision. Each resource is
// alternately put and deleted, so that a missed change is detected at the next one.
//
// It guards against a watcher that keeps a resource which was deleted while it read
// the state: the state of a shard and the revision must be read consistently.
func TestReadersSeeOneRevision(t *testing.T) {
	const commands = 4000
	s := NewStore(Settings{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			w := &replica{}
			for reads := 0; w.revision < commands; reads++ {
				if reads%2 == 0 {
					rs, revision := s.All()
					if w.resources != nil && revision < w.revision {
						t.Errorf("the revision decreased from %d to %d", w.revision, revision)
						return
					}
					w.resources, w.revision = keyed(rs), revision
				}
				changes, upTo, _ := s.Since(w.revision, 16)
				for _, c := range changes {
					if _, held := w.resources[c.Resource.Key()]; held != c.Deleted {
						t.Errorf("missed the change of %v before %d", c.Resource.Key(), c.Revision)
						return
					}
					if c.Deleted {
						delete(w.resources, c.Resource.Key())
					} else {
						w.resources[c.Resource.Key()] = c.Resource
					}
				}
				w.revision = upTo
			}
			if rs, _ := s.All(); !maps.EqualFunc(w.resources, keyed(rs), func(a, b Resource) bool { return reflect.DeepEqual(a, b) }) {
				t.Error("the state of the watcher differs from the store")
			}
		})
	}
	for index := uint64(1); index <= commands; index++ {
		workspace := string(rune('a' + index%7))
		name := string(rune('a' + index%3))
		if index == commands {
			name = "last"
		}
		var c Command = PutResource{Resource: Resource{
			Kind:     KindService,
			Metadata: Metadata{Workspace: workspace, Name: name},
			Spec:     ServiceSpec{IdempotentMethods: []string{"GET"}},
		}}
		if s.holds(workspace, name) {
			c = DeleteResource{Key: Key{Kind: KindService, Workspace: workspace, Name: name}}
		}
		data, err := Encode(Envelope{Command: c})
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(index, data)
	}
	readers.Wait()
}

func (s *Store) holds(workspace, name string) bool {
	_, ok := s.Get(Key{Kind: KindService, Workspace: workspace, Name: name})
	return ok
}
