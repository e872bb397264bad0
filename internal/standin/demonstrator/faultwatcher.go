package demonstrator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/transport/starter"
)

const (
	watchPause = 50 * time.Millisecond
	// inForceLimit bounds the time until an accepted change is in force on a ready
	// entry. An entry that lost contact stays ready for faultLease; it must be
	// unready before the limit, so the limit exceeds it.
	inForceLimit = faultLease + 2*time.Second
)

// watcher watches one entry over all its lives.
type watcher struct {
	name    string
	address string
	key     string
	run     *faultRun
	// process is the life watched, revision the newest that it applied.
	process  *starter.Process
	revision uint64
	// steady is since when the process has been ready without a break.
	steady time.Time
	// next is the number of accepted changes that are in force here; lacking
	// those before it which were found late once, so as to count them once.
	next int
	late int
	// shown holds the markers that callers of a ready entry were shown.
	shown map[string]struct{}
}

// watch looks again and again until stop ends.
func (w *watcher) watch(ctx, stop context.Context) {
	for stop.Err() == nil {
		w.look(ctx)
		wait(stop, watchPause)
	}
}

func (w *watcher) look(ctx context.Context) {
	p := w.run.deployment.Process(w.name)
	if p == nil {
		w.steady = time.Time{}
		return
	}
	if p != w.process {
		w.process, w.revision, w.steady = p, 0, time.Time{}
	}
	ready := p.Ready()
	revision := p.Revision()
	w.checkMonotone(revision)
	if !ready {
		w.steady = time.Time{}
		return
	}
	if w.steady.IsZero() {
		w.steady = time.Now()
	}
	w.checkInForce(revision)
	if err := w.checkShown(ctx, p); err != nil {
		w.run.changes.fail(errors.Annotate(err, "list of "+w.name))
	}
}

// checkMonotone compares the revision with the one before, of the same life.
func (w *watcher) checkMonotone(revision uint64) {
	w.run.ledger.check(NeverReverts, revision >= w.revision, "%s went from revision %d back to %d", w.name, w.revision, revision)
	w.revision = revision
}

// checkInForce compares the accepted changes with the revision applied by the
// ready entry.
func (w *watcher) checkInForce(revision uint64) {
	now := time.Now()
	for _, c := range w.run.changes.after(w.next) {
		switch {
		case revision >= c.revision:
			w.run.ledger.check(InForceSoon, true, "")
			if w.steady.Before(c.at) {
				w.run.changes.update(func() {
					f := &w.run.changes.figures
					f.InForceMaxMillis = max(f.InForceMaxMillis, now.Sub(c.at).Milliseconds())
				})
			}
			w.next++
		case now.Sub(c.at) > inForceLimit && w.late <= w.next:
			w.late = w.next + 1
			w.run.ledger.check(InForceSoon, false, "%s is ready and holds revision %d, %v after %d was accepted",
				w.name, revision, now.Sub(c.at).Round(time.Millisecond), c.revision)
			return
		default:
			return
		}
	}
}

// checkEnd finds what is not in force at the end, when every entry is up and has
// had the time: an entry that knows of its lag is not ready, and would never be.
func (w *watcher) checkEnd() {
	if lacking := w.run.changes.after(w.next); len(lacking) > 0 {
		w.run.ledger.checks(InForceSoon, int64(len(lacking)), int64(len(lacking)),
			"%s holds revision %d at the end and lacks %d accepted changes", w.name, w.revision, len(lacking))
	}
}

// listing is the part of OpenAI's list of models that is read.
type listing struct {
	Data []listed `json:"data"`
}

type listed struct {
	ID string `json:"id"`
}

// checkShown compares what callers are shown with what they were shown before.
func (w *watcher) checkShown(ctx context.Context, p *starter.Process) error {
	ctx, cancel := context.WithTimeout(ctx, attemptLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address+orderer.PathModels, http.NoBody)
	if err != nil {
		return errors.Trace(err)
	}
	r.Header.Set(translator.HeaderAuthorization, "Bearer "+w.key)
	answer, err := w.run.client.Do(r)
	if err != nil {
		return nil // An entry that was ended answers nothing.
	}
	defer answer.Body.Close()
	var l listing
	if answer.StatusCode != http.StatusOK || json.NewDecoder(answer.Body).Decode(&l) != nil {
		return nil
	}
	if w.run.deployment.Process(w.name) != p || !p.Ready() {
		return nil // Another life answered, or one that is not to be asked.
	}
	w.compareShown(l)
	return nil
}

// compareShown looks for what callers were shown before and aren't now.
func (w *watcher) compareShown(l listing) {
	now := make(map[string]struct{}, len(l.Data))
	for _, m := range l.Data {
		if isMarker(m.ID) {
			now[m.ID] = struct{}{}
		}
	}
	lacking := ""
	for marker := range w.shown {
		if _, ok := now[marker]; !ok {
			lacking = marker
		}
	}
	w.run.ledger.check(NeverReverts, lacking == "", "%s showed %s before, and lists %d without it", w.name, lacking, len(now))
	w.shown = now
}
