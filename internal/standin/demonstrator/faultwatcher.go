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
	pollInterval = 50 * time.Millisecond
	// inForceLimit bounds the time until an accepted change is in force on a ready
	// entry. It exceeds configurationLease, the time for which an entry without
	// contact stays ready.
	inForceLimit = configurationLease + 2*time.Second
)

// watcher checks one entry periodically, across its restarts.
type watcher struct {
	name    string
	address string
	key     string
	run     *faultRun
	// process is the current incarnation, revision the newest that it was seen to
	// have applied.
	process  *starter.Process
	revision uint64
	// readySince is the start of the uninterrupted time for which the process has
	// been ready; zero if it is not ready.
	readySince time.Time
	// inForceCount is the number of accepted changes that are in force on the
	// entry; lateCount the number of changes up to the last one that was reported
	// as late, so that each is reported once.
	inForceCount int
	lateCount    int
	// lastListed holds the marker versions in the last list of models that the
	// entry returned while ready.
	lastListed map[string]struct{}
}

// watch polls the entry every pollInterval until stop ends.
func (w *watcher) watch(ctx, stop context.Context) {
	for stop.Err() == nil {
		w.poll(ctx)
		sleep(stop, pollInterval)
	}
}

// poll performs all checks once. It does nothing while the entry is down.
func (w *watcher) poll(ctx context.Context) {
	p := w.run.deployment.Process(w.name)
	if p == nil {
		w.readySince = time.Time{}
		return
	}
	if p != w.process {
		w.process, w.revision, w.readySince = p, 0, time.Time{}
	}
	ready := p.Ready()
	revision := p.Revision()
	w.checkMonotone(revision)
	if !ready {
		w.readySince = time.Time{}
		return
	}
	if w.readySince.IsZero() {
		w.readySince = time.Now()
	}
	w.checkInForce(revision)
	if err := w.checkListing(ctx, p); err != nil {
		w.run.changes.addError(errors.Annotate(err, "list of "+w.name))
	}
}

// checkMonotone checks that the revision is not lower than the last one of the
// same incarnation.
func (w *watcher) checkMonotone(revision uint64) {
	w.run.findings.check(NeverReverts, revision >= w.revision, "%s went from revision %d back to %d", w.name, w.revision, revision)
	w.revision = revision
}

// checkInForce checks that the revision applied by the ready entry includes every
// change that was accepted more than inForceLimit ago.
func (w *watcher) checkInForce(revision uint64) {
	now := time.Now()
	for _, c := range w.run.changes.after(w.inForceCount) {
		switch {
		case revision >= c.revision:
			w.run.findings.check(InForceSoon, true, "")
			if w.readySince.Before(c.at) {
				w.run.changes.update(func() {
					f := &w.run.changes.figures
					f.InForceMaxMillis = max(f.InForceMaxMillis, now.Sub(c.at).Milliseconds())
				})
			}
			w.inForceCount++
		case now.Sub(c.at) > inForceLimit && w.lateCount <= w.inForceCount:
			w.lateCount = w.inForceCount + 1
			w.run.findings.check(InForceSoon, false, "%s is ready and holds revision %d, %v after %d was accepted",
				w.name, revision, now.Sub(c.at).Round(time.Millisecond), c.revision)
			return
		default:
			return
		}
	}
}

// checkEnd reports the changes that are not in force at the end, after every entry
// had the time to apply them. checkInForce misses those of an entry that detects
// its lag, since such an entry is not ready.
func (w *watcher) checkEnd() {
	if missing := w.run.changes.after(w.inForceCount); len(missing) > 0 {
		w.run.findings.checkMany(InForceSoon, int64(len(missing)), int64(len(missing)),
			"%s holds revision %d at the end and lacks %d accepted changes", w.name, w.revision, len(missing))
	}
}

// modelList is the part of OpenAI's list of models that the watcher reads.
type modelList struct {
	Data []modelEntry `json:"data"`
}

type modelEntry struct {
	ID string `json:"id"`
}

// checkListing fetches the entry's list of models and compares it with the last
// one. Failed requests are ignored.
func (w *watcher) checkListing(ctx context.Context, p *starter.Process) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address+orderer.PathModels, http.NoBody)
	if err != nil {
		return errors.Trace(err)
	}
	r.Header.Set(translator.HeaderAuthorization, "Bearer "+w.key)
	answer, err := w.run.client.Do(r)
	if err != nil {
		return nil // An entry that has ended does not answer.
	}
	defer answer.Body.Close()
	var l modelList
	if answer.StatusCode != http.StatusOK || json.NewDecoder(answer.Body).Decode(&l) != nil {
		return nil
	}
	if w.run.deployment.Process(w.name) != p || !p.Ready() {
		return nil // The entry restarted meanwhile, or is no longer ready.
	}
	w.compareListing(l)
	return nil
}

// compareListing checks that every marker version of the last list is still
// listed.
func (w *watcher) compareListing(l modelList) {
	current := make(map[string]struct{}, len(l.Data))
	for _, m := range l.Data {
		if isMarker(m.ID) {
			current[m.ID] = struct{}{}
		}
	}
	missing := ""
	for marker := range w.lastListed {
		if _, ok := current[marker]; !ok {
			missing = marker
		}
	}
	w.run.findings.check(NeverReverts, missing == "", "%s showed %s before, and lists %d without it", w.name, missing, len(current))
	w.lastListed = current
}
