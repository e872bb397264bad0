package marigoldpoint

import (
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/starter"
)

// The components of a process.
type (
	// Process is a running process. It is safe for concurrent use.
	Process = starter.Process
	// ProcessSettings are a Process's options.
	ProcessSettings = starter.Settings
	// Configuration is the content of a settings file.
	Configuration = configurer.Settings
)

// LoadConfiguration reads and checks a settings file. The text of a returned error
// has one line for each problem, with file, line and field.
func LoadConfiguration(path string) (Configuration, error) { return configurer.Load(path) }

// NewProcess starts a process with the roles listed in the settings.
func NewProcess(s ProcessSettings) (*Process, error) { return starter.NewProcess(s) }
