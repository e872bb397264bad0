package relayer

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/continuer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

const (
	// originMargin is added to the time for which a caller waits, to allow for the delivery
	// of its next attempt.
	originMargin = 2 * time.Second
	// recordOriginTimeout limits the time to record an origin at a replica in the background.
	recordOriginTimeout = time.Second
	// findOriginTimeout limits the time to query the replicas of an attempt for its origin.
	findOriginTimeout = 300 * time.Millisecond
)

// originSource specifies where the origin of an attempt was found.
type originSource string

const (
	originSourceEntry     originSource = "Entry"
	originSourceCompanion originSource = "Companion"
	// originSourceService means that the service has had only one software version.
	originSourceService originSource = "Service"
	originSourceNone    originSource = "None"
)

// directory is the directory of the companions in the view of a revision.
type directory struct {
	revision uint64
	*continuer.Directory
}

// replicasOf returns the members whose companions are the replicas of an attempt.
func (r *Relayer) replicasOf(attempt string) []tracker.Member {
	v := r.settings.View()
	d := r.directory.Load()
	if d == nil || d.revision != v.Revision {
		var companions []continuer.Companion
		v.Each(func(m tracker.Member) {
			if m.Spec.Kind == storer.MemberKindEngine {
				companions = append(companions, continuer.Companion{Name: m.Name, FailureDomain: m.Spec.FailureDomain})
			}
		})
		d = &directory{revision: v.Revision, Directory: continuer.NewDirectory(companions, r.settings.FailureDomain)}
		r.directory.Store(d)
	}
	var out []tracker.Member
	for _, c := range d.Replicas(attempt) {
		if m, ok := v.Member(c.Name); ok {
			out = append(out, m)
		}
	}
	return out
}

// resumesStream reports whether the caller resumes a stream that an earlier attempt began.
func (j *job) resumesStream() bool {
	return j.route.Stream && (j.call.Resumes != "" || j.call.LastEvent != "")
}

// bindToSoftware restricts a call that resumes a stream to the service and the software version
// that began the stream. If they are unknown or no backend server has that version, it refuses
// the call and returns errAnswered, since output of another version must not be appended to the
// stream.
func (j *job) bindToSoftware() error {
	if !j.resumesStream() {
		return nil
	}
	r := j.relayer
	o, source, retryable := j.findOrigin()
	if source == originSourceNone {
		if sole, known, confirmed := j.soleSoftware(); known {
			o, source = continuer.Origin{Service: j.service.Name, Software: sole}, originSourceService
		} else {
			retryable = retryable || !confirmed
		}
	}
	j.originSource = source
	r.metrics.resumed.WithLabelValues(string(source)).Inc()
	if source == originSourceNone {
		retryAfter := time.Duration(0)
		if retryable {
			retryAfter = r.settings.RetryAfter
		}
		return j.refuse(http.StatusServiceUnavailable, "the software version that began the stream is not known", retryAfter)
	}
	if !j.bindToService(o.Service) || !r.settings.Placer.ServesSoftware(o.Service, o.Software) {
		return j.refuse(http.StatusServiceUnavailable, "no backend server has the software version that began the stream", 0)
	}
	j.software = o.Software
	return nil
}

// bindToService directs the call to the given service, and reports whether the service exists
// and has a positive weight in the call's route.
func (j *job) bindToService(name string) bool {
	if name == j.service.Name {
		return true
	}
	service := j.relayer.Routing().Service(name)
	if service == nil || !slices.ContainsFunc(j.route.Shares, func(s tracker.Share) bool { return s.Service == name && s.Weight > 0 }) {
		return false
	}
	j.service = service
	return true
}

// findOrigin looks up the origin of the stream that the caller resumes, first at this entry and
// then at the attempt's replicas. retryable means that it was not found, but that there were no
// replicas or not all of them answered.
func (j *job) findOrigin() (o continuer.Origin, source originSource, retryable bool) {
	r := j.relayer
	if o, known := r.origins.Get(r.settings.Now(), j.call.Resumes); known {
		return o, originSourceEntry, false
	}
	if j.call.Resumes == "" {
		return o, originSourceNone, false
	}
	ctx, cancel := context.WithTimeout(j.ctx, findOriginTimeout)
	defer cancel()
	replicas := r.replicasOf(j.call.Resumes)
	type reply struct {
		found messenger.FoundOrigin
		err   error
	}
	replies := make(chan reply, len(replicas))
	for _, m := range replicas {
		go func() {
			found, err := r.queryOrigin(ctx, m, j.call.Resumes)
			replies <- reply{found, err}
		}()
	}
	retryable = len(replicas) == 0
	for range replicas {
		got := <-replies
		switch {
		case got.err != nil:
			retryable = true
		case got.found.Known:
			return continuer.Origin{Service: got.found.Service, Software: got.found.Software}, originSourceCompanion, false
		}
	}
	return o, originSourceNone, retryable
}

// soleSoftware returns the only software version that the backend servers of the service have
// had. Unless the replica of the state contains several, it waits until the replica is newer
// than the call, since an older one may lack the version that began the stream. known is false if there were several versions or
// none, or if the route has several services; confirmed is false if control did not confirm the
// replica.
func (j *job) soleSoftware() (software string, known, confirmed bool) {
	r := j.relayer
	if _, _, several := r.settings.View().SoleSoftware(j.service.Name); several || len(j.route.Shares) > 1 {
		return "", false, true
	}
	ctx, cancel := context.WithTimeout(j.ctx, controlReplyTimeout)
	defer cancel()
	for !r.stateNewerThan(j.arrived) {
		if !r.settings.Control.AwaitReport(ctx) {
			return "", false, false
		}
	}
	software, known, _ = r.settings.View().SoleSoftware(j.service.Name)
	return software, known, true
}

// queryOrigin queries the companion of a member for the origin of an attempt.
func (r *Relayer) queryOrigin(ctx context.Context, m tracker.Member, attempt string) (messenger.FoundOrigin, error) {
	var found messenger.FoundOrigin
	conn, err := r.settings.Companions.Conn(ctx, r.settings.CompanionAddress(m))
	if err != nil {
		return found, err
	}
	err = conn.Call(ctx, messenger.MethodFindOrigin, messenger.FindOrigin{Attempt: attempt}, &found)
	return found, err
}

// recordOrigin records the service and the software version of the backend server that sent the
// first event as the origin of the call's attempt, and again as that of the attempt that began
// the stream, if the caller resumes one and will wait longer than was known then. It is called
// before the event is forwarded.
func (j *job) recordOrigin() {
	if !j.route.Resumable {
		return
	}
	j.recordOriginOf(j.call.ID)
	if j.call.Resumes != "" && j.call.Resumes != j.call.ID {
		j.recordOriginOf(j.call.Resumes)
	}
}

// recordOriginOf records the origin of an attempt at this entry and at the attempt's replicas. It
// does not wait for the replicas.
func (j *job) recordOriginOf(attempt string) {
	r := j.relayer
	now := r.settings.Now()
	ttl := j.arrived.Add(max(j.call.Deadline, j.route.Timeout) + originMargin).Sub(now)
	m := messenger.RecordOrigin{
		Attempt: attempt, Service: j.service.Name, Software: j.software, KeepMillis: ttl.Milliseconds(),
		Request: r.settings.Node + " " + strconv.FormatInt(j.arrived.UnixNano(), 36),
	}
	if !r.origins.Put(now, m.Attempt, continuer.Origin{Service: m.Service, Software: m.Software, Request: m.Request, Expires: now.Add(ttl)}) {
		r.metrics.originsRefused.Inc()
	}
	copies := continuer.Copies
	var unconnected []tracker.Member
	for _, replica := range r.replicasOf(m.Attempt) {
		if copies == 0 {
			return
		}
		conn := r.settings.Companions.Live(r.settings.CompanionAddress(replica))
		if conn != nil && conn.Notify(r.root, messenger.MethodRecordOrigin, m) == nil {
			copies--
			continue
		}
		unconnected = append(unconnected, replica)
	}
	if copies > 0 {
		r.recordOriginInBackground(m, unconnected)
	}
}

// recordOriginInBackground records an origin at the companions of members to which there is no
// usable connection yet.
func (r *Relayer) recordOriginInBackground(m messenger.RecordOrigin, members []tracker.Member) {
	r.lossesMu.Lock()
	defer r.lossesMu.Unlock()
	if r.root.Err() != nil {
		return
	}
	for _, replica := range members {
		r.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(r.root, recordOriginTimeout)
			defer cancel()
			conn, err := r.settings.Companions.Conn(ctx, r.settings.CompanionAddress(replica))
			if err == nil {
				err = conn.Notify(ctx, messenger.MethodRecordOrigin, m)
			}
			if err != nil {
				r.settings.Log.Debug().Err(err).Str("Request", m.Attempt).Str("Backend", replica.Name).Msg("origin not recorded")
			}
		})
	}
}
