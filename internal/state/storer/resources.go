package storer

import (
	"bytes"
	"crypto/sha256"
	"reflect"

	"github.com/juju/errors"
)

// putResource writes a resource. Kinds that belong to no workspace, such as
// members, are written by their own commands only.
func (s *Store) putResource(index uint64, c PutResource) Result {
	r := c.Resource
	r.Metadata.Workspace = r.Key().normalized().Workspace
	if r.Kind.shared() {
		return invalid(errors.Errorf("a resource of kind %v is not declared one by one", r.Kind))
	}
	if err := Validate(r); err != nil {
		return invalid(err)
	}
	h := s.shard(r.Metadata.Workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.space(r.Metadata.Workspace)
	defer h.removeIfEmpty(r.Metadata.Workspace)
	old, exists := p.get(r.Kind, r.Metadata.Name)
	if result, ok := checkCondition(c, old, exists); !ok {
		return result
	}
	if exists && r.Kind == KindVersion {
		if old.Spec != r.Spec {
			return refused(VerdictInvalid, "a version's content can't change; declare a new version", old)
		}
		return accepted(old)
	}
	if result, ok := s.checkReferences(p, r, old, exists); !ok {
		return result
	}
	return s.write(index, p, r)
}

// checkCondition checks the condition of a write on the resource's existence or
// revision.
func checkCondition(c PutResource, old Resource, exists bool) (Result, bool) {
	switch {
	case c.IfNoneMatch && exists:
		return refused(VerdictConflict, "the resource exists", old), false
	case c.IfMatch != 0 && !exists:
		return Result{Verdict: VerdictConflict, Reason: "the resource does not exist"}, false
	case c.IfMatch != 0 && c.IfMatch != old.Metadata.Revision:
		return refused(VerdictConflict, "the resource was changed since it was read", old), false
	default:
		return Result{}, true
	}
}

// checkReferences checks a write against the resources to which it refers.
func (s *Store) checkReferences(p *space, r, old Resource, exists bool) (Result, bool) {
	switch spec := r.Spec.(type) {
	case AdapterSpec:
		if spec.Current != "" {
			if _, ok := p.get(KindVersion, VersionName(r.Metadata.Name, spec.Current)); !ok {
				return invalid(errors.Errorf("Spec.Current: adapter %q has no version %q", r.Metadata.Name, spec.Current)), false
			}
		}
		if previous, ok := old.Spec.(AdapterSpec); ok && exists && previous.BaseModel != spec.BaseModel && p.versions[r.Metadata.Name] > 0 {
			return refused(VerdictInUse, "the adapter has versions of its base model", old), false
		}
	case VersionSpec:
		adapter, _, _ := SplitVersionName(r.Metadata.Name)
		a, ok := p.get(KindAdapter, adapter)
		if !ok {
			return invalid(errors.Errorf("there is no adapter %q", adapter)), false
		}
		if previous, ok := p.retired[r.Metadata.Name]; ok && !bytes.Equal(previous.Content, versionDigest(a, spec)) {
			return invalid(errors.New("a deleted version of this name held another content; declare a new version")), false
		}
	case KeySpec:
		return s.checkHash(r, spec)
	}
	return Result{}, true
}

// checkHash refuses a bearer key that another resource declares: the workspace of
// a caller would be ambiguous.
func (s *Store) checkHash(r Resource, spec KeySpec) (Result, bool) {
	hash, err := ParseHash(spec.Hash)
	if err != nil {
		return invalid(err), false
	}
	if holder, ok := s.hashes[hash]; ok && holder != r.Key() {
		return invalid(errors.New("Spec.Hash belongs to another key")), false
	}
	return Result{}, true
}

// versionDigest returns a digest of everything that a version's answers depend on.
func versionDigest(adapter Resource, spec VersionSpec) []byte {
	base, _ := adapter.Spec.(AdapterSpec)
	data, err := encoding.Marshal([]any{base.BaseModel, spec})
	if err != nil {
		panic("storer: a version's content can't be encoded")
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

// write stores r. It also creates the workspace if r is its first resource. The
// caller holds the lock of p's shard.
func (s *Store) write(index uint64, p *space, r Resource) Result {
	changes := make([]Change, 0, 2)
	workspace := r.Metadata.Workspace
	if _, ok := p.get(KindWorkspace, workspace); !ok && r.Kind != KindWorkspace {
		created := Resource{
			Kind:     KindWorkspace,
			Metadata: Metadata{Workspace: workspace, Name: workspace, Revision: index},
			Spec:     WorkspaceSpec{Share: 1},
		}
		p.put(created)
		changes = append(changes, Change{Revision: index, Resource: created})
	}
	r.Metadata.Revision = index
	s.updateHashes(p, r.Key(), r.Spec)
	p.put(r)
	s.publish(index, append(changes, Change{Revision: index, Resource: r})...)
	return accepted(r)
}

// updateHashes updates s.hashes for the new spec of a key; nil means that the key
// is deleted.
func (s *Store) updateHashes(p *space, k Key, spec Spec) {
	if k.Kind != KindKey {
		return
	}
	if old, ok := p.get(k.Kind, k.Name); ok {
		if hash, err := ParseHash(old.Spec.(KeySpec).Hash); err == nil {
			delete(s.hashes, hash)
		}
	}
	if declared, ok := spec.(KeySpec); ok {
		if hash, err := ParseHash(declared.Hash); err == nil {
			s.hashes[hash] = k
		}
	}
}

// deleteResource deletes a resource to which no other resource refers. Of the kinds that
// belong to no workspace, operators can delete suspects and records of software versions only: a record begins
// again with the next announcement.
func (s *Store) deleteResource(index uint64, c DeleteResource) Result {
	k := c.Key.normalized()
	if k.Kind.shared() && k.Kind != KindSuspect && k.Kind != KindSoftware {
		return invalid(errors.Errorf("a resource of kind %v is not deleted one by one", k.Kind))
	}
	if err := validateKey(k); err != nil {
		return invalid(err)
	}
	h := s.shard(k.Workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.space(k.Workspace)
	defer h.removeIfEmpty(k.Workspace)
	old, ok := p.get(k.Kind, k.Name)
	if !ok {
		return Result{Verdict: VerdictNotFound, Reason: "the resource does not exist"}
	}
	if c.IfMatch != 0 && c.IfMatch != old.Metadata.Revision {
		return refused(VerdictConflict, "the resource was changed since it was read", old)
	}
	if reason := p.referrer(k); reason != "" {
		return refused(VerdictInUse, reason, old)
	}
	if k.Kind == KindVersion {
		if s.retired.count >= s.retention.MaxRecords {
			return Result{Verdict: VerdictFull, Reason: "too many names of deleted versions", Revision: old.Metadata.Revision}
		}
		s.recordRetiredVersion(index, p, old)
	}
	if k.Kind == KindSuspect {
		s.recordRelease(index, p, old)
	}
	s.updateHashes(p, k, nil)
	p.remove(k.Kind, k.Name)
	s.publish(index, Change{Revision: index, Resource: old, Deleted: true})
	return Result{Revision: index, Resource: &old}
}

// referrer returns the reason why the resource is still in use, or an empty string.
func (p *space) referrer(k Key) string {
	switch k.Kind {
	case KindWorkspace:
		if p.inUse() {
			return "the workspace holds resources"
		}
	case KindAdapter:
		if p.versions[k.Name] > 0 {
			return "the adapter has versions"
		}
	case KindVersion:
		adapter, version, _ := SplitVersionName(k.Name)
		if a, ok := p.get(KindAdapter, adapter); ok && a.Spec.(AdapterSpec).Current == version {
			return "the version is its adapter's current one"
		}
	default:
	}
	return ""
}

// accepted returns the result of an accepted command; r is the resource after it.
func accepted(r Resource) Result { return Result{Revision: r.Metadata.Revision, Resource: &r} }

// refused returns the result of a command that had no effect on r.
func refused(v Verdict, reason string, r Resource) Result {
	return Result{Verdict: v, Reason: reason, Revision: r.Metadata.Revision, Resource: &r}
}

// equalSpecs reports whether two specs are deeply equal.
func equalSpecs(a, b Spec) bool { return reflect.DeepEqual(a, b) }
