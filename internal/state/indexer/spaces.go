package indexer

import (
	"strings"
	"sync"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// workspaces is one shard of the workspaces with their services and rules. Adapters are
// stored separately.
type workspaces struct {
	mu sync.RWMutex
	// data contains the workspaces by name; guarded by mu.
	data map[string]*workspaceRecord
}

// workspaceRecord is one workspace.
type workspaceRecord struct {
	spec     storer.WorkspaceSpec
	services map[string]storer.ServiceSpec
	rules    rules
}

// put adds or replaces a workspace, a service or a rule. The caller holds mu for
// writing, or the shard is not yet in use.
func (s *workspaces) put(r storer.Resource) {
	record := s.workspaceRecord(r.Metadata.Workspace)
	switch spec := r.Spec.(type) {
	case storer.WorkspaceSpec:
		record.spec = spec
	case storer.ServiceSpec:
		if record.services == nil {
			record.services = map[string]storer.ServiceSpec{}
		}
		record.services[strings.Clone(r.Metadata.Name)] = spec
	case storer.PriorityRuleSpec:
		record.rules.put(r.Metadata.Name, spec)
	}
}

// workspaceRecord returns the record of a workspace, and adds it if it is missing. The
// caller holds mu.
func (s *workspaces) workspaceRecord(workspace string) *workspaceRecord {
	record, ok := s.data[workspace]
	if !ok {
		record = &workspaceRecord{}
		s.data[strings.Clone(workspace)] = record
	}
	return record
}

// remove removes a workspace, a service or a rule. The caller holds mu.
func (s *workspaces) remove(r storer.Resource) {
	record, ok := s.data[r.Metadata.Workspace]
	if !ok {
		return
	}
	switch r.Kind {
	case storer.KindWorkspace:
		delete(s.data, r.Metadata.Workspace)
	case storer.KindService:
		delete(record.services, r.Metadata.Name)
	case storer.KindPriorityRule:
		record.rules.remove(r.Metadata.Name)
	default:
	}
}
