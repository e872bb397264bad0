package driver

import (
	"time"

	"github.com/juju/errors"
)

// Names of the workloads that WorkloadByName returns.
const (
	PeachtreeName = "peachtree"
	AgenziaName   = "agenzia"
)

// WorkloadByName returns a workload of this package, or a NotValid error if the name is
// unknown.
func WorkloadByName(name string) (Workload, error) {
	switch name {
	case PeachtreeName:
		return Peachtree(), nil
	case AgenziaName:
		return Agenzia(), nil
	default:
		return Workload{}, errors.NotValidf("workload %q (use %s or %s)", name, PeachtreeName, AgenziaName)
	}
}

// Peachtree returns the workload of the Peachtree Clearance Desk: bursts of short lookups,
// long title reviews, and a batch of reprint checks that calls many rarely used adapters.
func Peachtree() Workload {
	return Workload{
		Name:      PeachtreeName,
		BaseModel: "clearance-base",
		Workspaces: []WorkspaceLoad{
			{Name: "portal", Weight: 30, Share: 2, Priority: 9, AdapterPrefix: "lookup", Adapters: 500},
			{Name: "paralegal", Weight: 25, Share: 2, Priority: 6, AdapterPrefix: "title", Adapters: 700},
			{Name: "analysts", Weight: 25, Share: 2, Priority: 5, AdapterPrefix: "chain", Adapters: 700},
			{Name: "producers", Weight: 12, Share: 1, Priority: 5, AdapterPrefix: "film", Adapters: 500},
			{Name: "publishers", Weight: 8, Share: 1, Priority: 3, AdapterPrefix: "reprint", Adapters: 600},
		},
		Service:      ServiceLoad{Name: "lookup", ReadPath: "/holders", WritePath: "/registrations"},
		Rate:         12,
		Burst:        Burst{Factor: 4, MeanLength: 10 * time.Second, MeanPause: 50 * time.Second},
		ZipfExponent: 1.4,
		ShiftAt:      0.5,
		Rush:         Rush{Workspace: "publishers", From: 0.7, To: 0.85, Rate: 4, Adapters: 300},
		Mix: Mix{
			StreamedChat: 40, WholeChat: 15, StreamedCompletion: 10, WholeCompletion: 10,
			Review: 5, ServiceRead: 12, ServiceWrite: 8, Resent: 0.2,
		},
		Tokens: TokenCounts{
			SharedPrefix: 96, Templates: 3,
			Prompt: TokenRange{Median: 180, Spread: 0.5, Min: 112, Max: 800},
			Answer: TokenRange{Median: 150, Spread: 0.7, Min: 8, Max: 800},
		},
		NamedVersion:       0.6,
		SecondVersionEvery: 10,
		Deadline:           60 * time.Second,
		Size:               DeploymentSize{FailureDomains: 3, Engines: 20, ServiceWorkers: 3, LoadsPerSecond: 4},
	}
}

// Agenzia returns the workload of the Agenzia Regionale per lo Stampaggio Siciliano: four
// sites that share the engines, with longer answers and a slower weight store.
func Agenzia() Workload {
	return Workload{
		Name:      AgenziaName,
		BaseModel: "stampaggio-base",
		Workspaces: []WorkspaceLoad{
			{Name: "catania", Weight: 40, Share: 2, Priority: 5, AdapterPrefix: "quotation", Adapters: 1200},
			{Name: "ragusa", Weight: 25, Share: 1, Priority: 5, AdapterPrefix: "defect", Adapters: 800},
			{Name: "siracusa", Weight: 20, Share: 1, Priority: 5, AdapterPrefix: "flow", Adapters: 600},
			{Name: "messina", Weight: 15, Share: 1, Priority: 5, AdapterPrefix: "press", Adapters: 400},
		},
		Service:      ServiceLoad{Name: "booking", ReadPath: "/presses", WritePath: "/bookings"},
		Rate:         8,
		Burst:        Burst{Factor: 3, MeanLength: 15 * time.Second, MeanPause: 45 * time.Second},
		ZipfExponent: 1.4,
		ShiftAt:      0.5,
		Rush:         Rush{Workspace: "catania", From: 0.7, To: 0.85, Rate: 3, Adapters: 300},
		Mix: Mix{
			StreamedChat: 45, WholeChat: 15, StreamedCompletion: 10, WholeCompletion: 10,
			Review: 4, ServiceRead: 8, ServiceWrite: 8, Resent: 0.2,
		},
		Tokens: TokenCounts{
			SharedPrefix: 128, Templates: 2,
			Prompt: TokenRange{Median: 240, Spread: 0.5, Min: 144, Max: 1000},
			Answer: TokenRange{Median: 260, Spread: 0.6, Min: 16, Max: 900},
		},
		NamedVersion:       0.6,
		SecondVersionEvery: 10,
		Deadline:           90 * time.Second,
		Size:               DeploymentSize{FailureDomains: 4, Engines: 12, ServiceWorkers: 4, LoadsPerSecond: 3},
	}
}
