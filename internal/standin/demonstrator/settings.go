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
	// DefaultServiceName is the name of the plain service, shared by all
	// workspaces.
	DefaultServiceName = "desk"
	// DefaultBaseModel is the base model of all engines.
	DefaultBaseModel = "base"
	// DefaultOrderLife is short: the stand-in engine ends its loads within it.
	DefaultOrderLife = time.Second
)

// Settings are the options of a deployment. The zero value means the defaults.
type Settings struct {
	// Entries is the number of hosts with the roles Entry and Control, each in a
	// failure domain of its own; DefaultEntries by default.
	Entries int
	// Engines is the number of model engines; DefaultEngines by default.
	Engines int
	// Services is the number of backend servers of the plain service;
	// DefaultServices by default.
	Services int
	// Folder holds the data folders. Required.
	Folder string
	// FirstPort makes the addresses known beforehand: the control hosts' come
	// first, then each entry's for callers and operators, then each companion's
	// for entries and operators. 0 takes any free ports.
	FirstPort int
	// Engine, Store and Service are the stand-ins' settings; the weight store's
	// address and the seeds are filled in.
	Engine  generator.Settings
	Store   weigher.Settings
	Service responder.Settings
	// Entry, Control and Companion are the processes' settings; addresses and
	// names are filled in.
	Entry     configurer.EntrySettings
	Control   configurer.ControlSettings
	Companion configurer.CompanionSettings
	Stop      configurer.StopSettings
	// Eviction is the companions' slot policy.
	Eviction loader.Policy
	// Relays puts relays between the processes, through which faults of the
	// network are produced.
	Relays bool
	// Sealed gives the processes certificates, by which they authenticate each
	// other.
	Sealed bool
	// Seed seeds all random sources; 0 means 1.
	Seed uint64
	// Log is the log of all processes; the zero value drops it.
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
