package demonstrator

import (
	"cmp"
	"time"

	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
	"marigoldpoint.example/marigoldpoint/internal/standin/weigher"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// The defaults of a deployment.
const (
	DefaultEntries  = 3
	DefaultEngines  = 6
	DefaultServices = 1
	// DefaultServiceName is the name of the plain service, which all workspaces
	// share.
	DefaultServiceName = "desk"
	// DefaultBaseModel is the base model of all engines.
	DefaultBaseModel = "base"
	// DefaultOrderLife is short because the stand-in engine completes its loads
	// within it.
	DefaultOrderLife = time.Second
)

// Settings are the options of a deployment. A zero value of a field means its
// default, except for Folder.
type Settings struct {
	// Entries is the number of hosts with the roles Entry and Control, each in a
	// failure domain of its own; DefaultEntries by default.
	Entries int
	// Engines is the number of model engines; DefaultEngines by default.
	Engines int
	// Services is the number of backend servers of the plain service;
	// DefaultServices by default.
	Services int
	// Folder is the parent of the processes' data folders. Required.
	Folder string
	// FirstPort is the first of the consecutive ports of the deployment, so that
	// addresses are known before the start: first those of the control hosts, then
	// each entry's ports for callers and operators, then each companion's ports
	// for entries and operators. 0 means any free ports.
	FirstPort int
	// Engine, Store and Service are the settings of the stand-ins; NewDeployment
	// fills in the weight store's address and the seeds.
	Engine  generator.Settings
	Store   weigher.Settings
	Service responder.Settings
	// Entry, Control, Companion and Stop are the settings of the processes;
	// NewDeployment fills in addresses and names.
	Entry     configurer.EntrySettings
	Control   configurer.ControlSettings
	Companion configurer.CompanionSettings
	Stop      configurer.StopSettings
	// Eviction is the companions' policy for evicting versions from slots.
	Eviction loader.Policy
	// Relays routes the connections between processes through relays, which can
	// inject network faults.
	Relays bool
	// Sealed makes the processes authenticate each other with certificates.
	Sealed bool
	// Seed is the seed of all random sources; 0 means 1.
	Seed uint64
	// Log receives the log of all processes; the zero value discards it.
	Log zerolog.Logger
}

func (s Settings) withDefaults() Settings {
	s.Entries = cmp.Or(s.Entries, DefaultEntries)
	s.Engines = cmp.Or(s.Engines, DefaultEngines)
	s.Services = cmp.Or(s.Services, DefaultServices)
	s.Seed = cmp.Or(s.Seed, 1)
	s.Engine.BaseModel = cmp.Or(s.Engine.BaseModel, DefaultBaseModel)
	s.Service.Name = cmp.Or(s.Service.Name, DefaultServiceName)
	s.Control.Group = cmp.Or(s.Control.Group, "demo")
	s.Control.StoreRate = cmp.Or(s.Control.StoreRate, float64(s.Store.Rate))
	s.Companion.OrderLife = cmp.Or(s.Companion.OrderLife, configurer.Duration(DefaultOrderLife))
	s.Companion.BaseModel = s.Engine.BaseModel
	s.Stop.BalancerDelay = cmp.Or(s.Stop.BalancerDelay, configurer.Duration(200*time.Millisecond))
	return s
}
