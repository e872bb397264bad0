package tracker

import (
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
	// Decode decodes and compiles the operator's document. Required.
	Decode func(document []byte) (*Routing, error)
	// OnChange is called with each new View, in order, while further updates are
	// blocked, so it must return quickly. It may be nil.
	OnChange func(*View)
	Log      zerolog.Logger
}

// Tracker applies the changes that control hosts send. It is the target of one
// subscription. It may be read by several goroutines.
type Tracker struct {
	settings Settings
	// mu serializes updates of the view.
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// NewTracker returns a tracker with an empty view at revision 0.
func NewTracker(s Settings) *Tracker {
	if s.Decode == nil {
		panic("tracker: NewTracker requires Settings.Decode")
	}
	t := &Tracker{settings: s}
	t.view.Store(&View{})
	return t
}

// View returns the latest view.
func (t *Tracker) View() *View { return t.view.Load() }

// Revision returns the revision of the latest view.
func (t *Tracker) Revision() uint64 { return t.View().Revision }

// Apply updates the view to the revision upTo. Changes that the view already
// contains are skipped. On an error the view stays unchanged.
func (t *Tracker) Apply(changes []storer.Change, upTo uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.View()
	if upTo <= old.Revision {
		return nil
	}
	d := draft{settings: &t.settings, view: View{Revision: upTo, Routing: old.Routing, members: old.members, newest: old.newest, software: old.software, List: old.List, Parts: old.Parts}}
	for _, c := range changes {
		if c.Revision > old.Revision {
			if err := d.apply(c.Resource, c.Deleted); err != nil {
				return errors.Annotatef(err, "change at revision %d", c.Revision)
			}
		}
	}
	return t.publish(&d)
}

// Reset replaces the view by the complete state of a later revision; an older one
// is ignored. The routing configuration is replaced by one with a higher number
// only. On an error the view stays unchanged.
func (t *Tracker) Reset(resources []storer.Resource, revision uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.View()
	if revision <= old.Revision {
		return nil
	}
	d := draft{settings: &t.settings, view: View{Revision: revision, Routing: old.Routing, reset: true}}
	for _, r := range resources {
		if err := d.apply(r, false); err != nil {
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
	if len(d.parts) > 0 {
		parts, err := d.view.Parts.With(d.parts...)
		if err != nil {
			return errors.Annotatef(err, "parts up to revision %d", d.view.Revision)
		}
		d.view.Parts = parts
	}
	t.view.Store(&d.view)
	if t.settings.OnChange != nil {
		t.settings.OnChange(&d.view)
	}
	return nil
}

// draft is a view that is being built. Its maps and the lists of members are copied before
// the first write.
type draft struct {
	settings     *Settings
	view         View
	ownedMembers bool
	// ownedServices are the services whose lists of members are copies.
	ownedServices map[string]struct{}
	ownedNewest   bool
	ownedSoftware bool
	// suspects are the changes of suspects; publish applies them together.
	suspects []storer.Change
	// parts are the changes of parts; publish applies them together.
	parts []storer.Change
}

func (d *draft) apply(r storer.Resource, deleted bool) error {
	switch spec := r.Spec.(type) {
	case storer.RoutingSpec:
		return d.applyRouting(spec)
	case storer.NewestSpec:
		if !d.ownedNewest {
			d.view.newest, d.ownedNewest = cloneMap(d.view.newest), true
		}
		d.view.newest[r.Metadata.Name] = max(d.view.newest[r.Metadata.Name], spec.Version)
	case storer.SoftwareSpec:
		if !d.ownedSoftware {
			d.view.software, d.ownedSoftware = cloneMap(d.view.software), true
		}
		d.view.software[r.Metadata.Name] = spec
		if deleted {
			delete(d.view.software, r.Metadata.Name)
		}
	case storer.MemberSpec:
		d.applyMember(Member{Name: r.Metadata.Name, Spec: spec}, deleted)
	case storer.SuspectSpec:
		d.suspects = append(d.suspects, storer.Change{Resource: r, Deleted: deleted})
	case storer.PartSpec:
		d.parts = append(d.parts, storer.Change{Resource: r, Deleted: deleted})
	default:
		// Other kinds are not needed for opaque calls.
	}
	return nil
}

// applyRouting applies a configuration with a higher number. Others are ignored: a
// configuration that was replaced must not take effect again while the process runs.
func (d *draft) applyRouting(spec storer.RoutingSpec) error {
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

func (d *draft) applyMember(m Member, deleted bool) {
	d.view.changed = append(d.view.changed, m.Name)
	for service, members := range d.view.members {
		i, found := findMember(members, m.Name)
		if !found || !deleted && service == m.Spec.Service {
			continue
		}
		if remaining := slices.Delete(d.own(service), i, i+1); len(remaining) > 0 {
			d.view.members[service] = remaining
		} else {
			delete(d.view.members, service)
		}
	}
	if deleted {
		return
	}
	members := d.own(m.Spec.Service)
	i, found := findMember(members, m.Name)
	if found {
		members[i] = &m
		return
	}
	d.view.members[m.Spec.Service] = slices.Insert(members, i, &m)
}

// own returns the list of a service's members for writing.
func (d *draft) own(service string) []*Member {
	if !d.ownedMembers {
		d.view.members, d.ownedMembers = cloneMap(d.view.members), true
		d.ownedServices = make(map[string]struct{})
	}
	if _, owned := d.ownedServices[service]; !owned {
		d.view.members[service] = slices.Clone(d.view.members[service])
		d.ownedServices[service] = struct{}{}
	}
	return d.view.members[service]
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
