package marigoldpoint

import (
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/starter"
)

// The parts of a process.
type (
	// Process is a running process; several goroutines may use it.
	Process = starter.Process
	// ProcessSettings are what a Process is made of.
	ProcessSettings = starter.Settings
	// Configuration is the content of a settings file.
	Configuration = configurer.Settings
)

// LoadConfiguration reads and checks a settings file. Its error has one line for
// each problem, with file, line and field.
func LoadConfiguration(path string) (Configuration, error) { return configurer.Load(path) }

// NewProcess starts the roles that the settings name.
func NewProcess(s ProcessSettings) (*Process, error) { return starter.NewProcess(s) }
