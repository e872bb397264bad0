package soaker

import "marigoldpoint.example/marigoldpoint/internal/state/configurer"

// settingsFile is the content of a settings file. It has the sections of the process's roles only,
// since others are refused.
type settingsFile struct {
	Node          string
	Region        string
	FailureDomain string
	Roles         []configurer.Role
	DataFolder    string `json:",omitempty"`
	ControlHosts  []configurer.ControlHost
	Control       *configurer.ControlSettings   `json:",omitempty"`
	Entry         *configurer.EntrySettings     `json:",omitempty"`
	Companion     *configurer.CompanionSettings `json:",omitempty"`
	Operators     configurer.OperatorsSettings
	Stop          configurer.StopSettings
}

func newSettingsFile(s configurer.Settings) settingsFile {
	f := settingsFile{
		Node: s.Node, Region: s.Region, FailureDomain: s.FailureDomain, Roles: s.Roles, DataFolder: s.DataFolder,
		ControlHosts: s.ControlHosts, Operators: s.Operators, Stop: s.Stop,
	}
	if s.HasRole(configurer.RoleControl) {
		f.Control = &s.Control
	}
	if s.HasRole(configurer.RoleEntry) {
		f.Entry = &s.Entry
	}
	if s.HasRole(configurer.RoleCompanion) {
		f.Companion = &s.Companion
	}
	return f
}
