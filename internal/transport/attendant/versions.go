package attendant

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
)

// maxReplaced is how long a request may wait for a version that was already being loaded when the
// companion learned of a newer one. A version may be used for 5 s after a newer one is acknowledged,
// of which the news takes 2 s at most.
const maxReplaced = 2 * time.Second

// errReplaced means that a load was not ordered since there is a newer version.
const errReplaced = errors.ConstError("a newer version has replaced it")

// newest returns the newest known version of the admission's adapter.
func (a *Attendant) newest(adm *admission) uint64 {
	return a.settings.View().Newest(adapterName(adm.msg.Model, adm.msg.Adapter))
}

// followVersions moves requests that wait for a version to a newer one, unless their version is loaded
// or being loaded. After maxReplaced it moves those, too. The caller holds mu.
func (a *Attendant) followVersions(now time.Time) {
	if a.table == nil {
		return
	}
	var moved []*admission
	for _, adm := range a.admissions {
		if !adm.waits() || adm.msg.Adapter == "" || a.newest(adm) <= adm.version {
			continue
		}
		if adm.replacedAt.IsZero() {
			adm.replacedAt = now
		}
		if !adm.inTable || a.table.Phase(adm.name) == loader.PhaseEmpty || now.Sub(adm.replacedAt) >= maxReplaced {
			moved = append(moved, adm)
		}
	}
	slices.SortFunc(moved, func(x, y *admission) int {
		return cmp.Or(x.started.Compare(y.started), cmp.Compare(x.msg.Request, y.msg.Request))
	})
	for _, adm := range moved {
		if adm.waits() {
			a.followVersion(adm, now)
		}
	}
}

// followVersion makes a waiting request wait for the newest version of its adapter. The caller holds
// mu.
func (a *Attendant) followVersion(adm *admission, now time.Time) {
	if adm.inTable {
		adm.inTable = false
		a.apply(a.table.Release(now, adm.msg.Request))
	}
	if newest := a.newest(adm); newest > adm.version {
		a.settings.Log.Info().Str("Request", adm.msg.Request).Str("Version", adm.name).Uint64("Newest", newest).
			Dur("Known", now.Sub(adm.replacedAt)).Msg("request waits for a newer version")
		adm.version, adm.name = newest, versionName(adm.msg.Model, adm.msg.Adapter, newest)
	}
	adm.replacedAt = time.Time{}
	a.requestSlot(adm, now)
}

// replaced reports whether an order would load an adapter's version although a newer one is known.
func (a *Attendant) replaced(o Order) bool {
	return o.Kind == OrderLoad && o.Adapter != "" && a.settings.View().Newest(adapterName(o.Model, o.Adapter)) > o.Version
}

// giveUpReplaced reports to the table under mu that a load was not ordered, since there is a newer
// version, for which its requests wait from now on.
func (a *Attendant) giveUpReplaced(l loader.LoadAction) {
	a.settings.Log.Info().Str("Version", l.Version).Msg("load not ordered: a newer version has replaced it")
	a.applyEvent(func(now time.Time) []loader.Action {
		a.replaceVersion(l.Version, now)
		return a.table.Loaded(now, l.Version, l.Fence, loader.OutcomeFailed, errReplaced.Error())
	})
}
