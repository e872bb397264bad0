package tracker

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/state/packer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Settings are a Tracker's options.
type Settings struct {
	// Decode reads the operator's document. Required.
	Decode func(document []byte) (*Routing, error)
	// Changed is called after each new View, in order; it must be quick. It may
	// be nil.
	OnChange func(*View)
	Log      zerolog.Logger
}

// Tracker follows the changes that control hosts send. It is the target of one
// subscription, and may be read by any goroutine.
type Tracker struct {
	settings Settings
	writing  sync.Mutex
	view     atomic.Pointer[View]
}

// NewTracker returns a tracker that knows nothing.
func NewTracker(s Settings) *Tracker {
	if s.Decode == nil {
		panic("tracker: NewTracker needs a decoder")
	}
	t := &Tracker{settings: s}
	t.view.Store(&View{})
	return t
}

// View returns the newest view.
func (t *Tracker) View() *View { return t.view.Load() }

// Revision returns the revision of the newest view.
func (t *Tracker) Revision() uint64 { return t.View().Revision }

// Apply brings the view to a later revision. Changes that it holds already are
// passed over.
func (t *Tracker) Apply(changes []storer.Change, upTo uint64) error {
	t.writing.Lock()
	defer t.writing.Unlock()
	old := t.View()
	if upTo <= old.Revision {
		return nil
	}
	d := draft{settings: &t.settings, view: View{Revision: upTo, Routing: old.Routing, members: old.members, newest: old.newest, List: old.List}}
	for _, c := range changes {
		if c.Revision > old.Revision {
			if err := d.take(c.Resource, c.Deleted); err != nil {
				return errors.Annotatef(err, "change at revision %d", c.Revision)
			}
		}
	}
	return t.publish(&d)
}

// Reset replaces all that is known by a whole state of a later revision.
func (t *Tracker) Reset(resources []storer.Resource, revision uint64) error {
	t.writing.Lock()
	defer t.writing.Unlock()
	old := t.View()
	if revision <= old.Revision {
		return nil
	}
	d := draft{settings: &t.settings, view: View{Revision: revision, Routing: old.Routing}}
	for _, r := range resources {
		if err := d.take(r, false); err != nil {
			return errors.Annotatef(err, "state at revision %d", revision)
		}
	}
	return t.publish(&d)
}

func (t *Tracker) publish(d *draft) error {
	if len(d.suspects) > 0 {
		list, err := d.view.With(d.suspects...)
		if err != nil {
			return errors.Annotatef(err, "suspects up to revision %d", d.view.Revision)
		}
		d.view.List = list
	}
	t.view.Store(&d.view)
	if t.settings.OnChange != nil {
		t.settings.OnChange(&d.view)
	}
	return nil
}

// draft is a view in the making. Maps are copied before the first write.
type draft struct {
	settings     *Settings
	view         View
	ownedMembers bool
	ownedNewest  bool
	// suspects are the changes of suspects; they are taken in together.
	suspects []storer.Change
}

func (d *draft) take(r storer.Resource, deleted bool) error {
	switch spec := r.Spec.(type) {
	case storer.RoutingSpec:
		return d.routing(spec)
	case storer.NewestSpec:
		if !d.ownedNewest {
			d.view.newest, d.ownedNewest = cloned(d.view.newest), true
		}
		d.view.newest[r.Metadata.Name] = max(d.view.newest[r.Metadata.Name], spec.Version)
	case storer.MemberSpec:
		d.member(Member{Name: r.Metadata.Name, Spec: spec}, deleted)
	case storer.SuspectSpec:
		d.suspects = append(d.suspects, storer.Change{Resource: r, Deleted: deleted})
	default:
		// Other kinds concern other parts of the product.
	}
	return nil
}

// routing takes a newer configuration. An older one than is held is passed over:
// what was in force once must not come back within one life of the process.
func (d *draft) routing(spec storer.RoutingSpec) error {
	if old := d.view.Routing; old != nil && old.Number >= spec.Number {
		return nil
	}
	document, err := packer.Unpack(spec.Document)
	if err != nil {
		return errors.Annotatef(err, "routing configuration %d", spec.Number)
	}
	r, err := d.settings.Decode(document)
	if err != nil {
		return errors.Annotatef(err, "routing configuration %d", spec.Number)
	}
	d.view.Routing = r
	d.settings.Log.Info().Uint64("Number", spec.Number).Int("Routes", len(r.Routes)).Msg("routing in force")
	return nil
}

func (d *draft) member(m Member, deleted bool) {
	if !d.ownedMembers {
		d.view.members, d.ownedMembers = cloned(d.view.members), true
	}
	for service, members := range d.view.members {
		kept := slices.DeleteFunc(slices.Clone(members), func(o Member) bool { return o.Name == m.Name })
		if len(kept) == 0 {
			delete(d.view.members, service)
			continue
		}
		d.view.members[service] = kept
	}
	if deleted {
		return
	}
	list := append(slices.Clone(d.view.members[m.Spec.Service]), m)
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	d.view.members[m.Spec.Service] = list
}

func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
