package indexer

import (
	"strings"
	"sync"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// spaces is one shard of what belongs to workspaces, beside their adapters.
type spaces struct {
	mu sync.RWMutex
	// data holds the workspaces by name; guarded by mu.
	data map[string]*space
}

// space is one workspace.
type space struct {
	spec     storer.WorkspaceSpec
	services map[string]storer.ServiceSpec
	rules    rules
}

// put applies the write of a workspace, a service or a rule. The caller holds
// mu for writing, or the shard is not yet in use.
func (s *spaces) put(r storer.Resource) {
	p := s.space(r.Metadata.Workspace)
	switch spec := r.Spec.(type) {
	case storer.WorkspaceSpec:
		p.spec = spec
	case storer.ServiceSpec:
		if p.services == nil {
			p.services = map[string]storer.ServiceSpec{}
		}
		p.services[strings.Clone(r.Metadata.Name)] = spec
	case storer.PriorityRuleSpec:
		p.rules.put(r.Metadata.Name, spec)
	}
}

// space has no lock of its own. The caller holds mu.
func (s *spaces) space(workspace string) *space {
	p, ok := s.data[workspace]
	if !ok {
		p = &space{}
		s.data[strings.Clone(workspace)] = p
	}
	return p
}

// remove has no lock of its own. The caller holds mu.
func (s *spaces) remove(r storer.Resource) {
	p, ok := s.data[r.Metadata.Workspace]
	if !ok {
		return
	}
	switch r.Kind {
	case storer.KindWorkspace:
		delete(s.data, r.Metadata.Workspace)
	case storer.KindService:
		delete(p.services, r.Metadata.Name)
	case storer.KindPriorityRule:
		p.rules.remove(r.Metadata.Name)
	default:
	}
}
